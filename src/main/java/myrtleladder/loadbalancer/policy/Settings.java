package myrtleladder.loadbalancer.policy;

import java.util.List;

/**
 * All settings of an instance.
 *
 * @param zone index of this balancer's zone
 * @param zones number of zones
 * @param position index of this balancer in its group
 * @param groupSize number of balancers in the group
 * @param classes request classes, by index
 * @param tenants tenants, by index
 * @param overLimitPriorityFactor factor on the priority of requests beyond a tenant's rate limit
 * @param isValueProportionalToWork whether the value of an answer is proportional to its work
 * @param limits limits and permitted actions
 * @param rules parameters of the rules
 * @param prices what actions cost
 * @param loadReportSource where load reports come from
 * @param ratingKind what the ratings of upstreams mean
 * @param listSubscription whether changes of the endpoint list are sent to subscribers only
 * @param keyAffinity whether an upstream serves a key with less work if it has served it before
 * @param tickUs granularity of timers, microseconds; 0 if they are exact
 */
public record Settings(
        int zone,
        int zones,
        int position,
        int groupSize,
        List<RequestClass> classes,
        List<Tenant> tenants,
        double overLimitPriorityFactor,
        boolean isValueProportionalToWork,
        Limits limits,
        RuleParameters rules,
        Prices prices,
        LoadReportSource loadReportSource,
        CapacityRatingKind ratingKind,
        boolean listSubscription,
        boolean keyAffinity,
        long tickUs) {}
