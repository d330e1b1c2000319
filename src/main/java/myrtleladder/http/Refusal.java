package myrtleladder.http;

/** Why a server refused a request or closed a client's connection. */
public enum Refusal {
    /** The head, or the lines in front of it, exceed the limit of the server. */
    HEAD_TOO_LARGE,
    /** The body exceeds the limit of the server. */
    BODY_TOO_LARGE,
    /** The request did not arrive within the time limit. */
    REQUEST_TOO_SLOW,
    /** More requests than allowed were sent without waiting for an answer. */
    TOO_MANY_PIPELINED,
    /** The requests of all clients need more memory than there is for them. */
    OUT_OF_MEMORY,
    /** The client took no byte of its answer within the time limit. */
    ANSWER_NOT_READ,
    /** The memory of all clients was used up, and this client's unread answer weighed most. */
    ANSWER_SHED,
    /** There are as many connections as the process may have. */
    TOO_MANY_CONNECTIONS
}
