package myrtleladder.loadbalancer.policy;

import java.util.List;

/**
 * All settings of an instance.
 *
 * @param zone index of the own zone
 * @param zones number of zones
 * @param position index of this balancer in its group
 * @param groupSize balancers in the group
 * @param classes classes of requests, by index
 * @param tenants tenants, by index
 * @param overShareFactor factor on the priority of requests beyond a tenant's share
 * @param worthByWork whether the value of an answer grows with its work
 * @param limits what the balancer may do
 * @param rules the figures of the rules
 * @param prices what actions cost
 * @param reports how load reports come
 * @param ratings what the ratings of upstreams mean
 * @param askForList whether changes of the endpoint list come only to subscribers
 * @param warmKeys whether an upstream serves a key cheaper that it has served before
 * @param tickUs granularity of timers; 0 if they are exact
 */
public record Settings(
        int zone,
        int zones,
        int position,
        int groupSize,
        List<RequestClass> classes,
        List<Tenant> tenants,
        double overShareFactor,
        boolean worthByWork,
        Limits limits,
        RuleFigures rules,
        Prices prices,
        Reports reports,
        Ratings ratings,
        boolean askForList,
        boolean warmKeys,
        long tickUs) {}
