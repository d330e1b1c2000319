package myrtleladder.consensus;

import java.util.ArrayList;
import java.util.List;

/**
 * The log of this process from a base index on; a snapshot covers the entries up to the base. Kept
 * in memory only: a restarted process is a new member.
 */
final class ReplicatedLog {
    private final List<LogEntry> entries = new ArrayList<>();
    private long baseIndex;
    private Term baseTerm = Term.NONE;
    private View baseView = View.NONE;

    /** The last index that is covered by the snapshot; entries begin after it. */
    long baseIndex() {
        return baseIndex;
    }

    long lastIndex() {
        return baseIndex + entries.size();
    }

    Term lastTerm() {
        return entries.isEmpty() ? baseTerm : entries.get(entries.size() - 1).term();
    }

    int size() {
        return entries.size();
    }

    /** The entry at an index after the base and up to the last. */
    LogEntry get(long index) {
        return entries.get((int) (index - baseIndex - 1));
    }

    /** The term at an index; null if it is before the base or after the last entry. */
    Term termAt(long index) {
        if (index == baseIndex) {
            return baseTerm;
        }
        return index > baseIndex && index <= lastIndex() ? get(index).term() : null;
    }

    void append(LogEntry entry) {
        entries.add(entry.withViewAfter(view()));
    }

    /** Removes the entries from an index on: the leader has others there. */
    void truncateFrom(long index) {
        entries.subList((int) (index - baseIndex - 1), entries.size()).clear();
    }

    /** Removes the entries up to an index, which a snapshot with that view covers. */
    void compact(long index, View view) {
        baseTerm = termAt(index);
        baseView = view;
        entries.subList(0, (int) (index - baseIndex)).clear();
        baseIndex = index;
    }

    /** Removes all entries; a snapshot from elsewhere covers everything up to an index. */
    void reset(long index, Term term, View view) {
        entries.clear();
        baseIndex = index;
        baseTerm = term;
        baseView = view;
    }

    /** The newest view, committed or not: its members count from the moment it is appended. */
    View view() {
        for (int i = entries.size() - 1; i >= 0; i--) {
            if (entries.get(i).view() != null) {
                return entries.get(i).view();
            }
        }
        return baseView;
    }

    boolean hasUncommittedView(long commitIndex) {
        for (long i = lastIndex(); i > Math.max(baseIndex, commitIndex); i--) {
            if (get(i).view() != null) {
                return true;
            }
        }
        return false;
    }

    /**
     * Whether a log that ends with that entry has everything that may be committed here (Raft,
     * section 5.4.1).
     */
    boolean isCoveredBy(Term otherLastTerm, long otherLastIndex) {
        int order = lastTerm().compareTo(otherLastTerm);
        return order < 0 || (order == 0 && lastIndex() <= otherLastIndex);
    }
}
