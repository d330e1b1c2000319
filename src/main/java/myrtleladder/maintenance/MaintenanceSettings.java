package myrtleladder.maintenance;

/**
 * The figures of the work on machines; the same in all processes of a fleet. Times are
 * microseconds.
 *
 * @param beat between two looks, and between two questions for leave
 * @param leave so long a process may send on after it asked, by its own clock
 * @param attempt so long an attempt is out at most: one that was sent with leave may be that old
 *     after it
 * @param drift two steady clocks go apart by so many parts of a million at most
 * @param lost so long a life that is in no view has to be out of sight before it counts as gone
 * @param longest the longest work; so long nothing is taken out after a founding, since what was
 *     granted before it may be going on
 */
public record MaintenanceSettings(
        String fleet, long beat, long leave, long attempt, long drift, long lost, long longest) {
    private static final long MILLION = 1_000_000;
    private static final long SPARE = 50_000;

    /** What holds unless it is configured otherwise, for work of so many microseconds at most. */
    public static MaintenanceSettings of(String fleet, long attempt, long longest) {
        return new MaintenanceSettings(
                fleet, 200_000, 1_500_000, attempt, 1_000, 3_000_000, longest);
    }

    /**
     * So long after it was given, by the giver's clock, nothing is out any more that was sent with
     * it.
     */
    long leaveIsOver() {
        return leave + attempt + 2 * (leave + attempt) * drift / MILLION + SPARE;
    }
}
