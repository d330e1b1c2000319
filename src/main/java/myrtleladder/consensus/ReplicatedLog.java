package myrtleladder.consensus;

import java.util.ArrayList;
import java.util.List;

/**
 * The entries of one life from a base on, behind which a snapshot stands for all that came before.
 */
final class ReplicatedLog {
    private final List<LogEntry> entries = new ArrayList<>();
    private long base;
    private Term baseTerm = Term.NONE;
    private View baseView = View.NONE;

    long base() {
        return base;
    }

    Term baseTerm() {
        return baseTerm;
    }

    long last() {
        return base + entries.size();
    }

    Term lastTerm() {
        return entries.isEmpty() ? baseTerm : entries.get(entries.size() - 1).term();
    }

    int size() {
        return entries.size();
    }

    LogEntry get(long index) {
        return entries.get((int) (index - base - 1));
    }

    /** The term of the entry at a place; null where that is not known. */
    Term termAt(long index) {
        return index == base
                ? baseTerm
                : index > base && index <= last() ? get(index).term() : null;
    }

    void add(LogEntry entry) {
        entries.add(entry.after(view()));
    }

    /** Forgets the entries from a place on: a leader has others there. */
    void cutFrom(long index) {
        entries.subList((int) (index - base - 1), entries.size()).clear();
    }

    /** Lets a snapshot stand for all up to a place. */
    void compact(long index, View view) {
        baseTerm = termAt(index);
        baseView = view;
        entries.subList(0, (int) (index - base)).clear();
        base = index;
    }

    void reset(long index, Term term, View view) {
        entries.clear();
        base = index;
        baseTerm = term;
        baseView = view;
    }

    /**
     * The newest view that it holds, decided or not: from the moment it is written, its lives
     * count.
     */
    View view() {
        for (int i = entries.size() - 1; i >= 0; i--) {
            if (entries.get(i).view() != null) {
                return entries.get(i).view();
            }
        }
        return baseView;
    }

    /** Whether the newest view is not decided yet by what is decided up to {@code commit}. */
    boolean changes(long commit) {
        for (long i = last(); i > Math.max(base, commit); i--) {
            if (get(i).view() != null) {
                return true;
            }
        }
        return false;
    }

    /**
     * Whether a log that ends like this holds all that may be decided here (Raft, section 5.4.1).
     */
    boolean noBetterThan(Term otherTerm, long otherLast) {
        int order = lastTerm().compareTo(otherTerm);
        return order < 0 || order == 0 && last() <= otherLast;
    }
}
