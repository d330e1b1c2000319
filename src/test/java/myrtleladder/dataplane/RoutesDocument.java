package myrtleladder.dataplane;

/** A test configuration with a route of each kind, written with single quotes. */
final class RoutesDocument {
    /**
     * Routes by path: /s/ resumable stream, /s3/ resumable stream that may be sent to three
     * upstreams, /n/ stream that is not resumable, /u/ non-idempotent, /i/ idempotent, /o/ public,
     * /w/ with a traffic split.
     */
    static final String TEXT =
            """
            {'generation':7,
             'routes':[
              {'name':'s','hostname':'h.example','path_prefix':'/s/','type':'streaming',
               'timeout_ms':8000,'target_latency_ms':600,'priority':1,'backend':'m','retries':2,
               'resumable':true,'gap_aim_ms':400},
              {'name':'s3','hostname':'h.example','path_prefix':'/s3/','type':'streaming',
               'timeout_ms':8000,'target_latency_ms':600,'priority':1,'backend':'m','retries':3,
               'resumable':true,'gap_aim_ms':400},
              {'name':'n','hostname':'h.example','path_prefix':'/n/','type':'streaming',
               'timeout_ms':5000,'target_latency_ms':600,'backend':'m','retries':1,
               'resumable':false},
              {'name':'u','hostname':'h.example','path_prefix':'/u/','type':'non_idempotent',
               'timeout_ms':1000,'backend':'p','retries':2},
              {'name':'i','hostname':'h.example','path_prefix':'/i/','type':'idempotent',
               'timeout_ms':1000,'backend':'p','retries':2},
              {'name':'o','hostname':'h.example','path_prefix':'/o/','type':'idempotent',
               'timeout_ms':1000,'backend':'p','retries':2,'public':true},
              {'name':'w','hostname':'h.example','path_prefix':'/w/','type':'idempotent',
               'timeout_ms':1000,'retries':1,
               'traffic_split':[{'backend':'p','weight':90},{'backend':'q','weight':10}]}],
             'services':[
              {'name':'m','engine':{'capacity':64,'kv_tokens':500000,'stride':5}},
              {'name':'p'},
              {'name':'q'}],
             'tenants':[
              {'name':'t1','api_keys':['k1'],'priority':1,'unit':'tokens','plain_tokens':200,
               'rate_per_s':1000,'burst':1000}]}
            """;

    private RoutesDocument() {}
}
