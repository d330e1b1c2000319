package myrtleladder.loadbalancer.policy;

import java.util.List;

/** All that an instance is told at its start. */
public record Settings(
        int zone,
        int zones,
        int position,
        int groupSize,
        List<RequestClass> classes,
        List<Tenant> tenants,
        double overShareWorth,
        boolean worthByWork,
        Limits limits,
        RuleFigures rules,
        Prices prices,
        Reports reports,
        Ratings ratings,
        boolean askForList,
        boolean warmKeys,
        long tick) {}
