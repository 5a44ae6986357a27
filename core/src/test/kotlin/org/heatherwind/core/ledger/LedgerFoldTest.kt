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

/** Tests that folding a shard's records in the log's order gives the expected budgets, claims and snapshots. */
class LedgerFoldTest {
    private val budget = BudgetId("studio")
    private val holder = Incarnation("one@1")
    private val otherHolder = Incarnation("two@1")

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
        Case(
            "a grant request that is granted in part",
            listOf(grantRequest(holder, wanted = 500, atLeast = 20)),
            spent = 0,
            available = 0,
        ),
        Case(
            "a grant request of which the minimum is not available",
            listOf(grantRequest(holder, wanted = 500, atLeast = 101)),
            spent = 0,
            available = 100,
        ),
        Case(
            "the second of two grant requests waits for a return",
            listOf(grantRequest(holder, 80, 80), grantRequest(otherHolder, 60, 60), GrantReturned(budget, holder, 40)),
            spent = 0,
            available = 0,
        ),
        Case(
            "a withdrawn grant request",
            listOf(
                grantRequest(holder, 80, 80),
                grantRequest(otherHolder, 60, 60),
                grantRequest(otherHolder, 0, 0),
                GrantReturned(budget, holder, 40),
            ),
            spent = 0,
            available = 60,
        ),
        Case(
            "a return of more than the grant",
            listOf(grantRequest(holder, 80, 80), GrantReturned(budget, holder, 500)),
            spent = 0,
            available = 100,
        ),
        Case("one settlement", listOf(grantRequest(holder, 80, 80), settlement("a", 30)), spent = 30, available = 20),
        Case(
            "a repeated settlement",
            listOf(grantRequest(holder, 80, 80), settlement("a", 30), settlement("a", 30)),
            spent = 30,
            available = 20,
        ),
        Case(
            "a completion after an interruption replaces its charge",
            listOf(
                grantRequest(holder, 80, 80),
                settlement("a", 50, SettlementOutcome.INTERRUPTED),
                settlement("a", 30),
            ),
            spent = 30,
            available = 40,
        ),
        Case(
            "an interruption after a completion changes nothing",
            listOf(
                grantRequest(holder, 80, 80),
                settlement("a", 30),
                settlement("a", 50, SettlementOutcome.INTERRUPTED),
            ),
            spent = 30,
            available = 20,
        ),
        Case(
            "a request that did not run is not charged",
            listOf(grantRequest(holder, 80, 80), settlement("a", 0, SettlementOutcome.NOT_RUN)),
            spent = 0,
            available = 20,
        ),
        Case(
            "a charge beyond grant and budget is capped and reported as a shortfall",
            listOf(grantRequest(holder, 80, 80), settlement("a", 130)),
            spent = 100,
            available = 0,
            shortfall = 30,
        ),
        Case(
            "an interruption beyond its grant is charged what the grant has left",
            listOf(
                grantRequest(holder, 80, 80),
                settlement("a", 30),
                settlement("b", 70, SettlementOutcome.INTERRUPTED),
            ),
            spent = 80,
            available = 20,
        ),
        Case(
            "a quarantined grant is not available",
            listOf(grantRequest(holder, 80, 80), HolderGone(holder, Timestamp(1))),
            spent = 0,
            available = 20,
        ),
        Case(
            "a release frees all tokens except those of open requests",
            listOf(
                grantRequest(holder, 80, 80),
                openedRequest("a", 30),
                HolderGone(holder, Timestamp(1)),
                HolderReleased(holder),
            ),
            spent = 0,
            available = 70,
        ),
        Case(
            "a release without a quarantine frees nothing",
            listOf(grantRequest(holder, 80, 80), HolderReleased(holder)),
            spent = 0,
            available = 20,
        ),
        Case(
            "a grant request of a holder that was declared gone is ignored",
            listOf(HolderGone(holder, Timestamp(1)), grantRequest(holder, 80, 80)),
            spent = 0,
            available = 100,
        ),
    )

    @TestFactory
    fun `given records, when they are folded in order, then the budget's tokens are as expected`(): List<DynamicTest> =
        cases.map { case ->
            DynamicTest.dynamicTest(case.name) {
                val account = fold(case.records).budgets.getValue(budget)
                assertEquals(case.spent, account.spent, "spent")
                assertEquals(case.available, account.available, "available")
                assertEquals(case.shortfall, account.shortfall, "shortfall")
            }
        }

    @Test
    fun `given a repeated batch, when it is folded, then it changes nothing`() {
        val batch = LedgerBatch(holder, 1, setUpRecords() + ToppedUp(budget, 7, "again"))
        val once = LedgerFold.fold(LedgerState(), 0, batch).state
        val twice = LedgerFold.fold(once, 1, batch).state
        assertEquals(once.budgets, twice.budgets)
    }

    @Test
    fun `given three claims of one attempt, when only the first did not run, then the first two are accepted`() {
        val attempt = AttemptKey("order")
        val claims = listOf("a", "b", "c").map { AttemptClaimed(attempt, Digest("body"), ReservationId(it)) }
        val notRun = AttemptFinished(attempt, ReservationId("a"), AttemptOutcome.NotRun)
        val repeatedNotRun = AttemptFinished(attempt, ReservationId("a"), AttemptOutcome.NotRun)
        val batch = LedgerBatch(holder, 1, listOf(claims[0], notRun, claims[1], repeatedNotRun, claims[2]))
        val decided = LedgerFold.fold(LedgerState(), 0, batch).events.filterIsInstance<LedgerEvent.ClaimDecided>()
        assertEquals(listOf(true, true, false), decided.map { it.isAccepted })
    }

    @Test
    fun `given any state, when a snapshot of it is restored, then the state is the same`() {
        cases.forEach { case ->
            val state = fold(case.records)
            assertEquals(state, state.toSnapshot().toState(), case.name)
        }
    }

    private fun fold(records: List<LedgerRecord>): LedgerState =
        LedgerFold.fold(LedgerState(), 0, LedgerBatch(holder, 1, setUpRecords() + records)).state

    private fun setUpRecords() = listOf(BudgetCreated(budget, CustomerId("guild")), ToppedUp(budget, 100, "first"))

    private fun grantRequest(holder: Incarnation, wanted: Long, atLeast: Long) =
        GrantRequested(budget, holder, wanted, atLeast, demandPerMinute = 1)

    private fun openedRequest(name: String, reserved: Long) =
        RequestOpened(budget, holder, ReservationId(name), RequestKey(name), reserved, otherHolder, Timestamp(9))

    private fun settlement(name: String, charged: Long, outcome: SettlementOutcome = SettlementOutcome.COMPLETED) =
        RequestSettled(budget, holder, ReservationId(name), RequestKey(name), charged, outcome)
}
