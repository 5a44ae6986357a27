package org.heatherwind.core.result

/** Whether a request ran on a target, to the extent that the caller may rely on it. */
public enum class Execution {
    /** No byte of the request reached a target, or the target confirmed that it did not run the request. */
    NOT_RUN,

    /** The request ran and its outcome is known. */
    RUN,

    /** The request may have run. */
    UNKNOWN,
}

/**
 * The result code of a response, listed in docs/RESULT_CODES.md.
 *
 * @property number stable number, never reused
 * @property httpStatus HTTP status of the response to the caller
 * @property execution whether the request ran
 * @property sentence human-readable explanation, sent to the caller
 */
public enum class ResultCode(
    public val number: Int,
    public val httpStatus: Int,
    public val execution: Execution,
    public val sentence: String,
) {
    COMPLETED(1000, 200, Execution.RUN, "The request ran and its whole answer was sent."),
    REPLAYED_OUTCOME(1001, 200, Execution.RUN, "The recorded outcome of the first attempt was sent."),
    MALFORMED_REQUEST(2000, 400, Execution.NOT_RUN, "The request could not be read."),
    BODY_TOO_LARGE(2001, 413, Execution.NOT_RUN, "The request body is larger than the accepted size."),
    UNKNOWN_MODEL(2002, 404, Execution.NOT_RUN, "No service offers this model or path."),
    TOKEN_COUNT_OUT_OF_RANGE(2003, 400, Execution.NOT_RUN, "A token count is negative or too large."),
    KEY_MISSING(2004, 401, Execution.NOT_RUN, "The request carries no key."),
    KEY_NOT_ACCEPTED(2005, 401, Execution.NOT_RUN, "The key is unknown or belongs to another budget."),
    IDEMPOTENCY_KEY_MISSING(2006, 400, Execution.NOT_RUN, "Non-idempotent work needs an Idempotency-Key."),
    IDEMPOTENCY_KEY_REUSED(2007, 409, Execution.NOT_RUN, "The Idempotency-Key was used with another body."),
    OPERATION_NOT_AUTHORISED(2008, 403, Execution.NOT_RUN, "The operator's token is missing or wrong."),
    HEADERS_TOO_LARGE(2009, 431, Execution.NOT_RUN, "The request headers are larger than the accepted size."),
    REQUEST_READ_TIMEOUT(2010, 408, Execution.NOT_RUN, "The request did not arrive whole in time."),
    BUDGET_EXHAUSTED(3000, 402, Execution.NOT_RUN, "The budget's unspent tokens do not cover the request."),
    BUDGET_HELD_ELSEWHERE(
        3001,
        429,
        Execution.NOT_RUN,
        "The tokens exist, but other routers or open requests hold them.",
    ),
    REQUEST_IN_PROGRESS(
        3002,
        409,
        Execution.NOT_RUN,
        "A request with the same key is in progress; this copy did not run.",
    ),
    REQUEST_ALREADY_ANSWERED(
        3003,
        409,
        Execution.NOT_RUN,
        "A request with the same key was answered; this copy did not run.",
    ),
    SETTLEMENT_QUEUE_FULL(3004, 503, Execution.NOT_RUN, "Too many settlements wait for the log service."),
    LOG_UNAVAILABLE(3005, 503, Execution.NOT_RUN, "Non-idempotent work needs the log service, which does not answer."),
    HOME_UNREACHABLE(3006, 503, Execution.NOT_RUN, "No router that holds the budget could be reached."),
    ROUTER_NOT_READY(3007, 503, Execution.NOT_RUN, "The router has not read its state yet."),
    ROUTER_DRAINING(3008, 503, Execution.NOT_RUN, "The router is stopping and takes no new requests."),
    CONFIGURATION_OUTDATED(
        3009,
        503,
        Execution.NOT_RUN,
        "The key or path is unknown here, and the configuration may be out of date.",
    ),
    REQUEST_MEMORY_FULL(3010, 503, Execution.NOT_RUN, "The router holds too many request bodies."),
    DEADLINE_BEFORE_START(3011, 503, Execution.NOT_RUN, "The deadline passed before a target took the request."),
    BUDGET_UNDIVIDED(3013, 503, Execution.NOT_RUN, "No tokens of the budget are free at this router at present."),
    CRASHING_REQUEST_BLOCKED(3014, 503, Execution.NOT_RUN, "Requests with this content crashed several targets."),
    ROUTER_OVERLOADED(3015, 503, Execution.NOT_RUN, "The router has more requests than it can serve in time."),
    ROUTER_FAILED_BEFORE_START(
        3020,
        503,
        Execution.NOT_RUN,
        "The router failed before it sent the request to a target.",
    ),
    NO_TARGET_FREE(4000, 503, Execution.NOT_RUN, "No target had a free slot before the deadline."),
    TARGET_REFUSED(4001, 503, Execution.NOT_RUN, "Every target tried refused the request before running it."),
    TARGET_FAILED(
        4002,
        502,
        Execution.UNKNOWN,
        "The target failed after the request was sent; the outcome is unknown.",
    ),
    ANSWER_INTERRUPTED(4003, 502, Execution.UNKNOWN, "The answer ended before it was whole."),
    TARGET_SILENT(4004, 504, Execution.UNKNOWN, "The target sent nothing before the progress deadline."),
    ATTEMPT_OUTCOME_UNKNOWN(4005, 409, Execution.UNKNOWN, "The first attempt may have run; it is never run again."),
    DEADLINE_PASSED(4007, 504, Execution.UNKNOWN, "The deadline passed while a target worked on the request."),
    CALLER_LEFT(4006, 499, Execution.UNKNOWN, "The caller closed the connection before the answer was whole."),
    ROUTER_FAILED(
        4010,
        502,
        Execution.UNKNOWN,
        "The router failed after it sent the request to a target; the outcome is unknown.",
    ),
    ROUTER_STOPPED(4011, 502, Execution.UNKNOWN, "The router stopped while a target worked on the request."),
    CONFIGURATION_BASE_OUTDATED(5000, 409, Execution.NOT_RUN, "Another change was accepted first."),
    CONFIGURATION_INVALID(5001, 400, Execution.NOT_RUN, "The configuration breaks one or more rules."),
    ;

    /** Whether the caller may rely on the request not having run. */
    public val isNotRun: Boolean get() = execution == Execution.NOT_RUN

    public companion object {
        private val byNumber: Map<Int, ResultCode> = entries.associateBy { it.number }

        /** Returns the code with this [number], or null. */
        public fun ofNumber(number: Int): ResultCode? = byNumber[number]
    }
}
