package org.heatherwind.core.rollout

import org.heatherwind.core.identity.MonotonicTime
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals

/** Given targets of several versions and no order, when requests arrive, then a new version is held back at first. */
class VersionAdmissionTest {
    private class Case(
        val name: String,
        val seen: List<Pair<Long, Map<String, Int>>>,
        val at: Long,
        val ordersReadAt: Long = at,
        val admitted: Set<String>,
    )

    private val oneThenTwo = listOf(0L to mapOf("v1" to 6), 1_000L to mapOf("v1" to 6, "v2" to 3))

    private val cases = listOf(
        Case("one version", listOf(0L to mapOf("v1" to 6)), at = 0, admitted = setOf("v1")),
        // Guards against requests to a new version whose order was not read yet.
        Case("a second version just registered", oneThenTwo, at = 1_500, admitted = setOf("v1")),
        Case("a second version without an order for long", oneThenTwo, at = 7_000, admitted = setOf("v1", "v2")),
        Case("orders not read since", oneThenTwo, at = 60_000, ordersReadAt = 900, admitted = setOf("v1")),
        Case(
            "the first version has left",
            oneThenTwo + (2_000L to mapOf("v2" to 3)),
            at = 2_000,
            admitted = setOf("v2"),
        ),
        Case(
            "both versions at the start, the smaller one is held",
            listOf(0L to mapOf("v1" to 6, "v2" to 3)),
            at = 100,
            admitted = setOf("v1"),
        ),
        Case(
            "a second version at the first one's return",
            listOf(0L to mapOf("v1" to 6), 100L to emptyMap(), 200L to mapOf("v1" to 5, "v2" to 1)),
            at = 300,
            admitted = setOf("v1"),
        ),
    )

    @TestFactory
    fun `only established versions are admitted`(): List<DynamicTest> = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val admission = VersionAdmission()
            case.seen.forEach { (time, versions) -> admission.recordVersions(versions, MonotonicTime(time)) }
            val admitted = case.seen.last().second.keys.filter {
                admission.isAdmitted(it, MonotonicTime(case.at), MonotonicTime(case.ordersReadAt))
            }
            assertEquals(case.admitted, admitted.toSet())
        }
    }
}
