package myrtleladder.consensus;

import java.util.Map;
import java.util.TreeMap;

/**
 * One decree of the log. Of a view only what changes is sent, so that an entry fits into a datagram
 * however large the fleet is; whoever writes it into a log works out the view from the one before.
 *
 * @param change lives by name that come in or take the place of another, 0 for names that go
 * @param view with that change; null where it is not worked out, and for other kinds
 * @param by who proposed a command, else null
 * @param number of the proposer's command: taken in once, however often it arrives
 * @param command what is handed to the machine, else null
 */
record LogEntry(
        long index,
        Term term,
        Kind kind,
        Map<String, Long> change,
        View view,
        Life by,
        long number,
        byte[] command) {
    /** What it is about. */
    enum Kind {
        /** A leader begins; what terms before its own left undecided is decided with it. */
        LEADS,
        /** The fleet begins anew, with those who founded it. */
        FOUND,
        /** The fleet has other members. */
        VIEW,
        /** For the machine. */
        COMMAND
    }

    boolean hasView() {
        return kind == Kind.FOUND || kind == Kind.VIEW;
    }

    /** The same with its view worked out. */
    LogEntry after(View before) {
        if (!hasView()) {
            return this;
        }
        Map<String, Long> lives = new TreeMap<>(kind == Kind.FOUND ? Map.of() : before.lives());
        change.forEach(
                (name, life) -> {
                    if (life == 0) {
                        lives.remove(name);
                    } else {
                        lives.put(name, life);
                    }
                });
        long epoch = kind == Kind.FOUND ? term.epoch() : before.epoch();
        return new LogEntry(
                index, term, kind, change, new View(epoch, number, lives), by, number, command);
    }
}
