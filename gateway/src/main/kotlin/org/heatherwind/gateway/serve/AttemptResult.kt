package org.heatherwind.gateway.serve

import io.netty.handler.codec.http.HttpHeaders

/** The result of one attempt on one target. */
internal sealed interface AttemptResult {
    /** Short description for logs. */
    fun describe(): String = when (this) {
        is Delivered -> "delivered $status"
        is NotSent -> "not sent: $reason"
        is NotRun -> "not run, $status"
        Misdirected -> "misdirected"
        is Failed -> "failed with $status"
        is Incomplete -> "incomplete: $reason"
    }

    /** The complete response was forwarded. */
    data class Delivered(val status: Int) : AttemptResult

    /** No byte of the request was sent. */
    data class NotSent(val reason: String) : AttemptResult

    /** The target stated that it did not run the request. */
    data class NotRun(val status: Int) : AttemptResult

    /** Another target now responds at the address; it did not run the request. */
    data object Misdirected : AttemptResult

    /** The target ran the request and sent a complete error response. */
    class Failed(val status: Int, val headers: HttpHeaders, val body: ByteArray) : AttemptResult

    /**
     * No complete, valid response was received; the request may have run.
     *
     * @property isConnectionLost whether the connection failed or was closed by the target
     */
    data class Incomplete(val reason: String, val isConnectionLost: Boolean = false) : AttemptResult
}
