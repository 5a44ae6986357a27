package org.heatherwind.core.crash

import org.heatherwind.core.identity.MonotonicTime
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/**
 * Given crashes of targets under requests with a common key, when they are recorded, then the key is blocked in time.
 */
class CrashSuspectsTest {
    private class Crash(val process: String, val atMilliseconds: Long)

    private class Case(val name: String, val isBlocked: Boolean, vararg val crashes: Crash)

    private val cases = listOf(
        Case("no crash", isBlocked = false),
        Case("two crashes", isBlocked = false, Crash("a", 0), Crash("b", 2_000)),
        Case("three crashes at three moments", isBlocked = true, Crash("a", 0), Crash("b", 600), Crash("c", 1_200)),
        Case("three crashes in any order", isBlocked = true, Crash("c", 1_200), Crash("a", 0), Crash("b", 600)),
        Case(
            "one crash that several routers report",
            isBlocked = false,
            Crash("a", 0),
            Crash("a", 700),
            Crash("a", 1_400),
        ),
        Case(
            "an outage of many targets",
            isBlocked = false,
            *(1..9).map { Crash("t$it", it * 40L) }.toTypedArray(),
        ),
        Case(
            "an outage of many targets and one more crash",
            isBlocked = false,
            *(1..9).map { Crash("t$it", it * 40L) }.toTypedArray(),
            Crash("x", 1_000),
        ),
        Case(
            "frequent crashes",
            isBlocked = true,
            *(1..5).map { Crash("t$it", it * 280L) }.toTypedArray(),
        ),
    )

    @TestFactory
    fun `a key is blocked after crashes at three separate moments`(): List<DynamicTest> = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val suspects = CrashSuspects()
            val blocking = case.crashes.sumOf {
                suspects.recordCrash(it.process, listOf(key), time(it.atMilliseconds), now).size
            }
            assertEquals(case.isBlocked, suspects.isBlocked(key, now))
            assertEquals(if (case.isBlocked) 1 else 0, blocking)
            assertFalse(suspects.isBlocked(otherKey, now))
        }
    }

    private class SharedCase(
        val name: String,
        val blocked: Set<SuspectKey>,
        val crashes: List<Pair<List<SuspectKey>, String>>,
    )

    private val sharedCases = listOf(
        SharedCase(
            "two parts that always come together: the later one",
            blocked = setOf(key),
            crashes = listOf(listOf(otherKey, key) to "a", listOf(otherKey, key) to "b", listOf(otherKey, key) to "c"),
        ),
        SharedCase(
            "a sound request with the earlier part is lost to the same crash, and reported first",
            blocked = setOf(key),
            crashes = listOf(
                listOf(otherKey, key) to "a",
                listOf(otherKey, key) to "b",
                listOf(otherKey) to "c",
                listOf(otherKey, key) to "c",
            ),
        ),
        SharedCase(
            "a sound request with the earlier part is lost to another crash",
            blocked = setOf(key),
            crashes = listOf(
                listOf(otherKey, key) to "a",
                listOf(otherKey, key) to "b",
                listOf(otherKey, key) to "c",
                listOf(otherKey) to "d",
            ),
        ),
        SharedCase(
            "the earlier part crashes targets without the later one",
            blocked = setOf(key, otherKey),
            crashes = listOf(
                listOf(otherKey, key) to "a",
                listOf(otherKey, key) to "b",
                listOf(otherKey, key) to "c",
                listOf(otherKey) to "d",
                listOf(otherKey) to "e",
            ),
        ),
        SharedCase(
            "the same request, which has parts of its own",
            blocked = setOf(requestKey),
            crashes = listOf("a", "b", "c").map { listOf(otherKey, key, requestKey) to it },
        ),
        SharedCase(
            "different requests with a part in common",
            blocked = setOf(key),
            crashes = listOf("a", "b", "c").map { listOf(key, SuspectKey.ofPart("own $it")) to it },
        ),
    )

    @TestFactory
    fun `only the most specific key that explains the crashes is blocked`(): List<DynamicTest> =
        sharedCases.map { case ->
            DynamicTest.dynamicTest(case.name) {
                val suspects = CrashSuspects()
                case.crashes.forEach { (keys, process) ->
                    val crashedAt = time((process.first() - 'a') * 700L)
                    suspects.recordCrash(process, keys, crashedAt, now)
                }
                assertEquals(case.blocked, suspects.blocked(now).toSet())
            }
        }

    @Test
    fun `an answer clears a key and its earlier crashes do not count again`() {
        val suspects = blockedSuspects()
        assertTrue(suspects.recordAnswer(key, time(1_300)))
        assertFalse(suspects.recordAnswer(key, time(1_400)))
        crash(suspects, "a", 0, "b", 600, "c", 1_200, "older", 900)
        assertEquals(0, suspects.crashCount(key, now))
        crash(suspects, "d", 2_000, "e", 2_600, "f", 3_200, "g", 3_800)
        assertFalse(suspects.isBlocked(key, now))
        crash(suspects, "h", 4_400)
        assertTrue(suspects.isBlocked(key, now))
    }

    @Test
    fun `an answer before the first crash, reported later, raises the number of crashes that block a key`() {
        val suspects = blockedSuspects()
        assertFalse(suspects.recordAnswer(key, time(-100)))
        assertFalse(suspects.isBlocked(key, now))
        assertEquals(3, suspects.crashCount(key, now))
        crash(suspects, "d", 2_000, "e", 2_600)
        assertTrue(suspects.isBlocked(key, now))
    }

    @Test
    fun `a blocked key is forgotten some time after its last crash`() {
        val suspects = blockedSuspects()
        val expiresAt = time(1_200 + CrashSuspects.LIFETIME_MILLISECONDS)
        assertTrue(suspects.isBlocked(key, expiresAt.plusMilliseconds(-1)))
        assertFalse(suspects.isBlocked(key, expiresAt))
        assertEquals(0, suspects.crashCount(key, expiresAt))
        assertEquals(emptyList(), suspects.recordCrash("c", listOf(key), time(1_200), expiresAt))
    }

    @Test
    fun `the number of suspects is bounded and blocked keys are retained`() {
        val suspects = blockedSuspects()
        val parts = (0 until 10_000).map { SuspectKey.ofPart("part $it") }
        parts.forEach { suspects.recordCrash("d", listOf(it), now, now) }
        assertTrue(suspects.isBlocked(key, now))
        assertEquals(255, parts.count { suspects.crashCount(it, now) > 0 })
    }

    @Test
    fun `a key that was answered recently is known as long as it is one of the most recent`() {
        val suspects = CrashSuspects()
        suspects.recordAnswer(key, now)
        assertEquals(now, suspects.recentAnswerAt(key, now.plusMilliseconds(29_999)))
        assertEquals(null, suspects.recentAnswerAt(key, now.plusMilliseconds(30_000)))
        assertEquals(
            listOf(true, false),
            listOf(999L, 1_000).map {
                suspects.isAnsweredConstantly(key, now.plusMilliseconds(it))
            },
        )
        repeat(4_096) { suspects.recordAnswer(SuspectKey.ofPart("part $it"), now) }
        assertEquals(now, suspects.recentAnswerAt(key, now), "one prompt of many parts replaced it")
        repeat(17_000) { suspects.recordAnswer(SuspectKey.ofPart("part $it"), now) }
        assertEquals(null, suspects.recentAnswerAt(key, now))
    }

    private fun crash(suspects: CrashSuspects, vararg processesAndTimes: Any): Unit =
        processesAndTimes.toList().chunked(2).forEach { (process, milliseconds) ->
            suspects.recordCrash(process as String, listOf(key), time((milliseconds as Int).toLong()), now)
        }

    private fun blockedSuspects() = CrashSuspects().apply {
        crash(this, "a", 0, "b", 600, "c", 1_200)
    }

    private companion object {
        val key = SuspectKey.ofPart("e4402b7d")
        val otherKey = SuspectKey.ofPart("91bd3f06")
        val requestKey = SuspectKey.ofRequest(null, "POST", "/chat/1", ByteArray(3))
        val now = time(5_000)

        fun time(milliseconds: Long) = MonotonicTime(milliseconds)
    }
}
