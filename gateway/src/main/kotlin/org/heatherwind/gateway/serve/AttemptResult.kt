package org.heatherwind.gateway.serve

import io.netty.handler.codec.http.HttpHeaders

/** How one try on one target ended. */
internal sealed interface AttemptResult {
    /** A short text for logs. */
    fun describe(): String = when (this) {
        is Delivered -> "delivered $status"
        is Unsent -> "unsent: $reason"
        is NotRun -> "not run, $status"
        Misdirected -> "misdirected"
        is Failed -> "failed with $status"
        is Broken -> "broken: $reason"
    }

    /** The whole answer was passed on. */
    data class Delivered(val status: Int) : AttemptResult

    /** No byte of the request left this router. */
    data class Unsent(val reason: String) : AttemptResult

    /** The target proved that it did not run the request. */
    data class NotRun(val status: Int) : AttemptResult

    /** Another target answers at the address, and did not run the request. */
    data object Misdirected : AttemptResult

    /** The target ran the request and answered with an error, whole. */
    class Failed(val status: Int, val headers: HttpHeaders, val body: ByteArray) : AttemptResult

    /** The answer ended before it was whole, so the request may have run. */
    data class Broken(val reason: String) : AttemptResult
}
