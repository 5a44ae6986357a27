package org.heatherwind.router.entry

import com.google.common.hash.Hashing
import org.heatherwind.core.identity.AttemptKey
import org.heatherwind.core.identity.BudgetId
import org.heatherwind.core.identity.Digest
import org.heatherwind.core.identity.Incarnation
import org.heatherwind.core.identity.RequestKey
import org.heatherwind.core.identity.ReservationId
import java.util.concurrent.atomic.AtomicLong
import kotlin.text.Charsets.UTF_8

/** Derives the keys under which a request is authorised, charged and run at most once. */
public class RequestIdentity(private val entry: Incarnation) {
    private val sequence = AtomicLong()

    /** Returns a new unique key for a request without an idempotency key. */
    public fun newRequestKey(): RequestKey = RequestKey(newReservationId().value)

    /** Returns a new unique ID for one arrival of a request; each attempt to reserve derives its own ID from it. */
    public fun newReservationId(): ReservationId = ReservationId("$entry/${sequence.incrementAndGet()}")

    /** Returns the key of a request with an idempotency key; the same key with the same body is the same request. */
    public fun requestKeyFor(budget: BudgetId, idempotencyKey: String, fingerprint: Digest): RequestKey =
        RequestKey(digestOf("request\n$budget\n$idempotencyKey\n$fingerprint").hexadecimal)

    /** Returns the attempt key of a non-idempotent call, which does not depend on the body. */
    public fun attemptKeyFor(budget: BudgetId, idempotencyKey: String): AttemptKey =
        AttemptKey(digestOf("attempt\n$budget\n$idempotencyKey").hexadecimal)

    public companion object {
        private const val SEPARATOR = '.'

        /** Returns the SHA-256 digest of [text]. */
        public fun digestOf(text: String): Digest = Digest(Hashing.sha256().hashString(text, UTF_8).toString())

        /** Returns the budget of an API key of the form `budget.secret`, or null when the key has another form. */
        public fun budgetOf(apiKey: String): BudgetId? =
            apiKey.substringBeforeLast(SEPARATOR, "").ifEmpty { null }?.let(::BudgetId)
    }
}
