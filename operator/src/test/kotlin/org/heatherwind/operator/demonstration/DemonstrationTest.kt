package org.heatherwind.operator.demonstration

import kotlinx.coroutines.runBlocking
import org.heatherwind.core.result.ResultCode
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Given routers on real sockets, when a failure occurs, then every request is answered, charged once and run once. */
class DemonstrationTest {
    private val seed = 7L

    @TestFactory
    fun `given a scenario, when run, it succeeds`(): List<DynamicTest> = DemonstrationScenario.all.map { scenario ->
        DynamicTest.dynamicTest(scenario.name) {
            val summary = runBlocking { Demonstration(REQUESTS, seed, scenario).run() }
            println(summary.toText())
            assertTrue(summary.isSuccessful, summary.toText())
            val unknown = summary.refusedByCode[ResultCode.ATTEMPT_OUTCOME_UNKNOWN.name] ?: 0
            assertEquals(REQUESTS, summary.answered + unknown, summary.toText())
            assertTrue(unknown == 0 || scenario is DemonstrationScenario.RouterDeath, summary.toText())
        }
    }

    private companion object {
        const val REQUESTS = 300
    }
}
