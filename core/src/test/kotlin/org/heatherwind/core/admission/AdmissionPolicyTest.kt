package org.heatherwind.core.admission

import kotlinx.collections.immutable.persistentListOf
import org.heatherwind.core.fleet.Customer
import org.heatherwind.core.fleet.Route
import org.heatherwind.core.identity.CustomerId
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.work.PromptPart
import org.heatherwind.core.work.Repeatability
import org.heatherwind.core.work.TokenDemand
import org.heatherwind.core.work.WorkRequest
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Given targets with room for a part of the demand, when a request comes, then it is sent, waits or is refused. */
class AdmissionPolicyTest {
    private enum class Expected { SENT, WAITS, REFUSED }

    private class Case(
        val name: String,
        val expected: Expected,
        val work: WorkRequest = stream(),
        val predicted: Double? = null,
        val hasFreePlace: Boolean = false,
        val opensAt: Long? = null,
        val canOpen: Boolean = true,
        val now: Long = 5,
        val overloadedUntil: Long? = null,
        val resumedAt: Long? = null,
        val until: Long = 150,
    )

    private val cases = listOf(
        Case("in time", Expected.SENT, predicted = 100.0),
        Case("late, but its caller stays", Expected.SENT, predicted = 1_900.0),
        Case("late by the prediction, which may be wrong by half", Expected.SENT, predicted = 3_900.0),
        Case("its caller will have left", Expected.REFUSED, predicted = 5_500.0),
        Case("its caller stays for a long objective", Expected.SENT, stream(objective = 1_500), predicted = 5_500.0),
        Case("its caller stays for long pauses", Expected.SENT, stream(pause = 400), predicted = 5_500.0),
        Case("its caller has an early deadline", Expected.REFUSED, stream(deadline = 1_000), predicted = 5_500.0),
        Case("a plain call waits for its deadline", Expected.SENT, plain(), predicted = 1_900.0),
        Case("a plain call is lost", Expected.REFUSED, plain(), predicted = 2_500.0),
        Case("a target is idle, whatever was predicted", Expected.SENT, predicted = 9_000.0, hasFreePlace = true),
        Case("all targets are at their limit", Expected.WAITS),
        Case("a target opens in time", Expected.WAITS, opensAt = 100),
        Case("a target opens too late", Expected.REFUSED, opensAt = 150),
        Case("all targets leave", Expected.REFUSED, canOpen = false),
        Case("half of its objective has passed", Expected.REFUSED, now = 150),
        Case("half of its objective has not passed", Expected.WAITS, now = 149),
        Case("a stream that goes on late", Expected.SENT, predicted = 5_500.0, now = 4_000, resumedAt = 4_000),
        Case("a stream that goes on waits from its gap", Expected.WAITS, now = 4_149, resumedAt = 4_000, until = 4_150),
        Case("a stream that goes on has waited", Expected.REFUSED, now = 4_150, resumedAt = 4_000),
        Case("its target rejected one", Expected.WAITS, predicted = 50.0, overloadedUntil = 60),
        Case("rejected, short", Expected.WAITS, stream(objective = 100), 50.0, overloadedUntil = 65, until = 65),
        Case("rejected late", Expected.WAITS, predicted = 50.0, overloadedUntil = 160, now = 149, until = 160),
        Case("rejected, its wait is over", Expected.SENT, predicted = 50.0, overloadedUntil = 170, now = 150),
        Case("the rejection is over", Expected.SENT, predicted = 50.0, overloadedUntil = 60, now = 60),
    )

    @TestFactory
    fun `given room for a third of the demand`(): List<DynamicTest> = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val prospect = Prospect(
                predictedMilliseconds = case.predicted,
                hasFreePlace = case.hasFreePlace,
                opensAt = case.opensAt?.let { MonotonicTime(it) },
                canOpen = case.canOpen,
                roomMilliseconds = 200,
                overloadedUntil = case.overloadedUntil?.let { MonotonicTime(it) },
                resumedAt = case.resumedAt?.let { MonotonicTime(it) },
            )
            val decision = AdmissionPolicy.decide(case.work, prospect, MonotonicTime(case.now))
            val actual = when (decision) {
                AdmissionDecision.Send -> Expected.SENT
                is AdmissionDecision.Wait -> Expected.WAITS
                is AdmissionDecision.Refuse -> Expected.REFUSED
            }
            if (decision is AdmissionDecision.Wait) assertEquals(MonotonicTime(case.until), decision.until)
            assertEquals(case.expected, actual)
        }
    }

    // Guards against a second wave of all callers that were refused together.
    @Test
    fun `given 1,000 callers refused together when they return then no tenth of the time gets a quarter of them`() {
        val times = (1..1_000).map { retryAfter(plain(id = "3f%06x".format(it)), room = 200) }
        assertTrue(times.all { it in 200..333 }, "${times.min()}..${times.max()}")
        val perTenth = times.filter { it < 333 }.groupingBy { (it - 200) / 13 }.eachCount()
        assertTrue(perTenth.values.max() < 250, "$perTenth")
        assertTrue(perTenth.size >= 10, "$perTenth")
    }

    private class Return(val name: String, val room: Long, val opensAt: Long?, val expected: LongRange)

    private val returns = listOf(
        Return("room at once", room = 0, opensAt = null, expected = 50L..100L),
        Return("a queue ahead", room = 150, opensAt = null, expected = 150L..300L),
        Return("a queue longer than the caller's time", room = 60_000, opensAt = null, expected = 333L..333L),
        Return("targets that open later", room = 100, opensAt = 20_000, expected = 20_000L..20_100L),
        Return("targets that open before their queue ends", room = 300, opensAt = 10, expected = 300L..333L),
    )

    @TestFactory
    fun `given a refusal then its caller returns when room is expected`(): List<DynamicTest> = returns.map { case ->
        DynamicTest.dynamicTest(case.name) {
            (1..50).map { retryAfter(plain(id = "$it"), case.room, case.opensAt) }.forEach {
                assertTrue(it in case.expected, "$it")
            }
        }
    }

    @Test
    fun `given a caller that was refused when it returns soon then it is known, and others are not`() {
        val refusals = RecentRefusals()
        refusals.record(stream(id = "a1"), MonotonicTime(0))
        assertTrue(refusals.contains(stream(id = "a2"), MonotonicTime(4_000)))
        assertFalse(refusals.contains(stream(id = "a2"), MonotonicTime(4_001)))
        assertFalse(refusals.contains(stream(id = "b", customer = "other"), MonotonicTime(1)))
        assertFalse(refusals.contains(stream(id = "c", part = "other"), MonotonicTime(1)))
        assertFalse(refusals.contains(plain(), MonotonicTime(1)))
        repeat(600) { refusals.record(stream(part = "p$it"), MonotonicTime(2)) }
        assertFalse(refusals.contains(stream(), MonotonicTime(3)))
    }

    private companion object {
        fun retryAfter(work: WorkRequest, room: Long, opensAt: Long? = null): Long =
            RetryAfterPolicy.milliseconds(work, room, opensAt?.let { MonotonicTime(it) }, MonotonicTime(0))

        fun plain(id: String = "p") =
            work(id, route(isStream = false), deadline = 1_000, customer = null, tokens = null)

        fun stream(
            id: String = "s",
            objective: Long = 300,
            pause: Long = 250,
            deadline: Long = 10_000,
            customer: String = "studio",
            part: String = "own",
        ) = work(
            id,
            route(isStream = true).copy(latencyObjectiveMilliseconds = objective, pauseObjectiveMilliseconds = pause),
            deadline,
            Customer(CustomerId(customer)),
            TokenDemand(100, 50, persistentListOf(PromptPart("shared", 60), PromptPart(part, 40))),
        )

        fun work(id: String, route: Route, deadline: Long, customer: Customer?, tokens: TokenDemand?) =
            WorkRequest(id, route, customer, tokens, MonotonicTime(0), MonotonicTime(deadline))

        fun route(isStream: Boolean) = Route(
            name = "route",
            host = "h",
            pathPrefix = "/",
            destinations = persistentListOf(),
            repeatability = Repeatability.AtMostOnce,
            isStream = isStream,
            timeoutMilliseconds = 10_000,
            latencyObjectiveMilliseconds = 300,
        )
    }
}
