package myrtleladder.loadbalancer.policy;

/** The figures of the rules. */
public record RuleFigures(
        long answerSlack,
        long askWithin,
        double startCapacity,
        long coldTime,
        long drainGrace,
        double fallMultiple,
        long fallTime) {}
