package org.heatherwind.core.escrow

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Given a store that may carry out an update late, when three updates follow each other, then no more tokens are usable
 * than any grant that the store may hold.
 */
class UsableGrantTest {
    private enum class Outcome { CONFIRMED, REJECTED, DONE_LATER, NEVER_DONE }

    /** When an update that is done later takes effect, if its condition still holds. */
    private enum class Moment { BEFORE_NEXT_READ, BEFORE_NEXT_APPEND, AFTER_ALL }

    private class Update(val planned: Long, val outcome: Outcome)

    /** A store of one grant, whose updates are conditional on its version, as the ledger's are. */
    private class Model(private val moment: Moment) {
        private val grant = UsableGrant()
        private var version = 0
        private var stored = INITIAL_TOKENS
        private val open = ArrayList<OpenUpdate>()

        init {
            grant.plan(stored = 0, planned = INITIAL_TOKENS)
            grant.confirm()
        }

        fun play(update: Update) {
            if (moment == Moment.BEFORE_NEXT_READ) doOpenUpdates()
            var readVersion = version
            grant.plan(stored, update.planned)
            check(inFlight = update.planned)
            if (moment == Moment.BEFORE_NEXT_APPEND) doOpenUpdates()
            if (readVersion != version) {
                // The append conflicts; it is planned anew after another read.
                readVersion = version
                grant.plan(stored, update.planned)
            }
            check(inFlight = update.planned)
            end(update, readVersion)
            check(inFlight = null)
        }

        fun end() {
            doOpenUpdates()
            check(inFlight = null)
            grant.plan(stored, stored)
            grant.confirm()
            assertEquals(stored, grant.tokens, "a confirmed update makes the whole grant usable")
        }

        private fun end(update: Update, readVersion: Int) = when (update.outcome) {
            Outcome.CONFIRMED -> {
                store(update.planned)
                grant.confirm()
            }

            Outcome.REJECTED -> grant.withdraw()

            Outcome.DONE_LATER, Outcome.NEVER_DONE -> {
                open += OpenUpdate(readVersion, update.planned, isDone = update.outcome == Outcome.DONE_LATER)
                grant.recordUnknown()
            }
        }

        private fun doOpenUpdates() = open.filter { it.isDone }.forEach { if (it.version == version) store(it.planned) }

        private fun store(tokens: Long) {
            stored = tokens
            version++
        }

        private fun check(inFlight: Long?) {
            val possible = open.filter { it.version == version }.map { it.planned } + listOfNotNull(stored, inFlight)
            assertTrue(
                grant.tokens <= possible.min(),
                "${grant.tokens} tokens are usable, the store may hold $possible",
            )
        }
    }

    private class OpenUpdate(val version: Int, val planned: Long, val isDone: Boolean)

    private val outcomes: List<List<Outcome>> = Outcome.entries.flatMap { first ->
        Outcome.entries.flatMap { second -> Outcome.entries.map { third -> listOf(first, second, third) } }
    }

    private val grants: List<List<Long>> = GRANTS.flatMap { first ->
        GRANTS.flatMap { second -> GRANTS.map { third -> listOf(first, second, third) } }
    }

    // Guards against tokens that two routers spend because an update with an unknown outcome returned them late.
    @TestFactory
    fun `given unknown outcomes when updates follow then the least possible grant is usable`(): List<DynamicTest> =
        outcomes.map { triple ->
            DynamicTest.dynamicTest(triple.joinToString()) {
                Moment.entries.forEach { moment ->
                    grants.forEach { planned ->
                        val model = Model(moment)
                        planned.zip(triple).forEach { (tokens, outcome) -> model.play(Update(tokens, outcome)) }
                        model.end()
                    }
                }
            }
        }

    private companion object {
        const val INITIAL_TOKENS = 26_000L
        val GRANTS = listOf(1_000L, 13_000L, 30_000L)
    }
}
