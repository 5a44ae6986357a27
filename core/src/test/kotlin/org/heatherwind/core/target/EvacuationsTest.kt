package org.heatherwind.core.target

import org.heatherwind.core.identity.DataCentreId
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals

/** Given orders to evacuate data centres and their removals, then the one stored last counts for each of them. */
class EvacuationsTest {
    private class Case(val name: String, val expected: Set<String>, val change: Evacuations.() -> Evacuations)

    private val a = DataCentreId("a")
    private val b = DataCentreId("b")

    private val cases = listOf(
        Case("no order", emptySet()) { this },
        Case("one order", setOf("a")) { with(a, 1) },
        Case("two data centres", setOf("a", "b")) { with(a, 1).with(b, 2) },
        Case("an order that is taken back", emptySet()) { with(a, 1).without(a, 2) },
        Case("an order that is given again", setOf("a")) { with(a, 1).without(a, 2).with(a, 3) },
        Case("an order that is read again after its removal", emptySet()) { with(a, 1).without(a, 2).with(a, 1) },
        Case("a removal that is read again after the next order", setOf("a")) {
            with(a, 1).without(a, 2).with(a, 3).without(a, 2)
        },
        Case("a removal without an order", emptySet()) { without(a, 2) },
        Case("all orders, with one left", setOf("b")) { with(a, 1).with(b, 2).onlyOf(setOf(b)) },
        Case("all orders, with none left", emptySet()) { with(a, 1).onlyOf(emptySet()) },
        Case("an order that is read again after all were", emptySet()) { with(a, 1).onlyOf(emptySet()).with(a, 1) },
        Case("a new order after all were read", setOf("a")) { with(a, 1).onlyOf(emptySet()).with(a, 4) },
    )

    // Guards against a data centre that stays out of use, or gets requests, since an old record was read again.
    @TestFactory
    fun `given records then the evacuated data centres follow from the last ones`(): List<DynamicTest> =
        cases.map { case ->
            DynamicTest.dynamicTest(case.name) {
                val evacuations = case.change(Evacuations())
                assertEquals(case.expected, evacuations.dataCentres.mapTo(HashSet()) { it.value })
                assertEquals(case.expected, setOf(a, b).filter { it in evacuations }.mapTo(HashSet()) { it.value })
            }
        }
}
