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

/** Derives the names under which a request is authorised, billed and run once. */
public class RequestIdentity(private val entry: Incarnation) {
    private val sequence = AtomicLong()

    /** A key for a request that its caller did not name. */
    public fun uniqueKey(): RequestKey = RequestKey(arrivalName().value)

    /** A name for one arrival of a request, from which the names of its reservations are made. */
    public fun arrivalName(): ReservationId = ReservationId("$entry/${sequence.incrementAndGet()}")

    /** The key of a request that its caller named: the same name with the same body is the same request. */
    public fun namedKey(budget: BudgetId, callerKey: String, fingerprint: Digest): RequestKey =
        RequestKey(digestOf("request\n$budget\n$callerKey\n$fingerprint").hexadecimal)

    /** The name of non-idempotent work that its caller named. */
    public fun attemptKey(budget: BudgetId, callerKey: String): AttemptKey =
        AttemptKey(digestOf("attempt\n$budget\n$callerKey").hexadecimal)

    public companion object {
        private const val SEPARATOR = '.'

        /** SHA-256 of [text]. */
        public fun digestOf(text: String): Digest = Digest(Hashing.sha256().hashString(text, UTF_8).toString())

        /** The budget that an API key, `budget.secret`, draws on, or null when it has not that form. */
        public fun budgetOf(apiKey: String): BudgetId? =
            apiKey.substringBeforeLast(SEPARATOR, "").ifEmpty { null }?.let(::BudgetId)
    }
}
