package myrtleladder.dataplane;

import myrtleladder.http.ResponseHead;

/** What the head of a response says about the request that was sent on its connection. */
enum UpstreamResponseKind {
    /** The upstream executed the request, or may have. */
    EXECUTED,
    /** The upstream did not execute the request and never will. */
    NOT_EXECUTED,
    /**
     * The response is not known to belong to the request. It says nothing about it, and the
     * upstream may execute the request all the same.
     */
    FOREIGN;

    /** Misdirected Request: the upstream is not the expected instance (RFC 9110, 15.5.20). */
    static final int MISDIRECTED_REQUEST = 421;

    private static final int FIRST_UNSUCCESSFUL_STATUS = 300;

    /**
     * Classifies a response. An id of another request is decisive for all statuses, since an
     * upstream may send a late second copy of an earlier response. A rejection may have no id: an
     * upstream may send it before it has read the request. Successful responses have a signature.
     *
     * @param attemptId the id that the client gave its request, null if none
     */
    static UpstreamResponseKind of(ResponseHead head, String attemptId) {
        String id = head.headers().get(HeaderNames.ATTEMPT_ID);
        if (id != null && !id.equals(attemptId)) {
            return FOREIGN;
        }
        if (isRejection(head)) {
            return NOT_EXECUTED;
        }
        boolean hasExpectedId = id != null || attemptId == null;
        return hasExpectedId && isSignedIfSuccessful(head) ? EXECUTED : FOREIGN;
    }

    private static boolean isRejection(ResponseHead head) {
        return head.status() == MISDIRECTED_REQUEST
                || head.headers().get(HeaderNames.NOT_EXECUTED) != null;
    }

    private static boolean isSignedIfSuccessful(ResponseHead head) {
        return head.status() >= FIRST_UNSUCCESSFUL_STATUS
                || head.headers().get(HeaderNames.UPSTREAM_SIGNATURE) != null;
    }
}
