package org.heatherwind.core.ledger

import org.heatherwind.core.identity.AttemptKey
import org.heatherwind.core.identity.BudgetId
import org.heatherwind.core.identity.CustomerId
import org.heatherwind.core.identity.Digest
import org.heatherwind.core.identity.Incarnation
import org.heatherwind.core.identity.RequestKey
import org.heatherwind.core.identity.ReservationId
import org.heatherwind.core.identity.Timestamp
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.Test
import kotlin.test.assertEquals

/** Given records in the log's order, when they are folded, then budgets hold what the order says. */
class LedgerFoldTest {
    private val budget = BudgetId("studio")
    private val one = Incarnation("one@1")
    private val two = Incarnation("two@1")

    private class Case(
        val name: String,
        val records: List<LedgerRecord>,
        val spent: Long,
        val available: Long,
        val shortfall: Long = 0,
    )

    private val cases = listOf(
        Case("a top-up alone", listOf(), spent = 0, available = 100),
        Case("a repeated top-up", listOf(ToppedUp(budget, 100, "first")), spent = 0, available = 100),
        Case("a second top-up", listOf(ToppedUp(budget, 50, "second")), spent = 0, available = 150),
        Case("a negative top-up", listOf(ToppedUp(budget, -50, "bad")), spent = 0, available = 100),
        Case("an overflowing top-up", listOf(ToppedUp(budget, Long.MAX_VALUE, "bad")), spent = 0, available = 100),
        Case("a want in part", listOf(want(one, wanted = 500, atLeast = 20)), spent = 0, available = 0),
        Case("a want that cannot be met", listOf(want(one, wanted = 500, atLeast = 101)), spent = 0, available = 100),
        Case(
            "two wants, of which the second waits for a return",
            listOf(want(one, 80, 80), want(two, 60, 60), GrantReturned(budget, one, 40)),
            spent = 0,
            available = 0,
        ),
        Case(
            "a withdrawn want",
            listOf(want(one, 80, 80), want(two, 60, 60), want(two, 0, 0), GrantReturned(budget, one, 40)),
            spent = 0,
            available = 60,
        ),
        Case(
            "a return of more than the grant",
            listOf(want(one, 80, 80), GrantReturned(budget, one, 500)),
            spent = 0,
            available = 100,
        ),
        Case("one bill", listOf(want(one, 80, 80), bill("a", 30)), spent = 30, available = 20),
        Case("a bill twice", listOf(want(one, 80, 80), bill("a", 30), bill("a", 30)), spent = 30, available = 20),
        Case(
            "a completion after an interruption replaces its charge",
            listOf(want(one, 80, 80), bill("a", 50, SettlementOutcome.INTERRUPTED), bill("a", 30)),
            spent = 30,
            available = 40,
        ),
        Case(
            "an interruption after a completion changes nothing",
            listOf(want(one, 80, 80), bill("a", 30), bill("a", 50, SettlementOutcome.INTERRUPTED)),
            spent = 30,
            available = 20,
        ),
        Case(
            "work that did not run is not billed",
            listOf(want(one, 80, 80), bill("a", 0, SettlementOutcome.NOT_RUN)),
            spent = 0,
            available = 20,
        ),
        Case(
            "a charge beyond grant and budget is capped and reported",
            listOf(want(one, 80, 80), bill("a", 130)),
            spent = 100,
            available = 0,
            shortfall = 30,
        ),
        Case(
            "an interruption beyond its grant is charged what the grant has left",
            listOf(want(one, 80, 80), bill("a", 30), bill("b", 70, SettlementOutcome.INTERRUPTED)),
            spent = 80,
            available = 20,
        ),
        Case(
            "a quarantined grant is not available",
            listOf(want(one, 80, 80), HolderGone(one, Timestamp(1))),
            spent = 0,
            available = 20,
        ),
        Case(
            "a release frees all but what is open",
            listOf(want(one, 80, 80), opened("a", 30), HolderGone(one, Timestamp(1)), HolderReleased(one)),
            spent = 0,
            available = 70,
        ),
        Case(
            "a release without a quarantine frees nothing",
            listOf(want(one, 80, 80), HolderReleased(one)),
            spent = 0,
            available = 20,
        ),
        Case(
            "a gone holder's want is not met",
            listOf(HolderGone(one, Timestamp(1)), want(one, 80, 80)),
            spent = 0,
            available = 100,
        ),
    )

    @TestFactory
    fun `the log's order decides`(): List<DynamicTest> = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val account = fold(case.records).budgets.getValue(budget)
            assertEquals(case.spent, account.spent, "spent")
            assertEquals(case.available, account.available, "available")
            assertEquals(case.shortfall, account.shortfall, "shortfall")
        }
    }

    @Test
    fun `given a repeated batch, when it is folded, then it changes nothing`() {
        val batch = LedgerBatch(one, 1, opening() + ToppedUp(budget, 7, "again"))
        val once = LedgerFold.fold(LedgerState(), 0, batch).state
        val twice = LedgerFold.fold(once, 1, batch).state
        assertEquals(once.budgets, twice.budgets)
    }

    @Test
    fun `given claims of one attempt, when the first did not run, then the next wins and the third does not`() {
        val attempt = AttemptKey("order")
        val claims = listOf("a", "b", "c").map { AttemptClaimed(attempt, Digest("body"), ReservationId(it)) }
        val notRun = AttemptFinished(attempt, ReservationId("a"), AttemptOutcome.NotRun)
        val late = AttemptFinished(attempt, ReservationId("a"), AttemptOutcome.NotRun)
        val batch = LedgerBatch(one, 1, listOf(claims[0], notRun, claims[1], late, claims[2]))
        val decided = LedgerFold.fold(LedgerState(), 0, batch).events.filterIsInstance<LedgerEvent.ClaimDecided>()
        assertEquals(listOf(true, true, false), decided.map { it.won })
    }

    @Test
    fun `given any state, when it goes through a snapshot, then it is the same`() {
        cases.forEach { case ->
            val state = fold(case.records)
            assertEquals(state, state.toSnapshot().toState(), case.name)
        }
    }

    private fun fold(records: List<LedgerRecord>): LedgerState =
        LedgerFold.fold(LedgerState(), 0, LedgerBatch(one, 1, opening() + records)).state

    private fun opening() = listOf(BudgetCreated(budget, CustomerId("guild")), ToppedUp(budget, 100, "first"))

    private fun want(holder: Incarnation, wanted: Long, atLeast: Long) =
        GrantRequested(budget, holder, wanted, atLeast, demandPerMinute = 1)

    private fun opened(name: String, reserved: Long) =
        RequestOpened(budget, one, ReservationId(name), RequestKey(name), reserved, two, Timestamp(9))

    private fun bill(name: String, charged: Long, outcome: SettlementOutcome = SettlementOutcome.COMPLETED) =
        RequestSettled(budget, one, ReservationId(name), RequestKey(name), charged, outcome)
}
