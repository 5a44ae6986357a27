package org.heatherwind.operator.command

import kotlinx.serialization.json.Json
import org.heatherwind.operator.demonstration.Demonstration
import org.heatherwind.operator.demonstration.DemonstrationScenario
import org.kohsuke.args4j.Option

/** `heatherwind demo`: runs a fleet in this process, with the failure scenario that `--scenario` names. */
internal class DemoCommand : Command {
    override val summary = "run routers, stand-ins and callers in this process and check the results"

    @Option(name = "--requests", metaVar = "NUMBER", usage = "requests to send, at most 20000")
    var requests: Int = 1_000

    @Option(name = "--seed", metaVar = "NUMBER", usage = "seed of the callers' random choices")
    var seed: Long = 1

    @Option(
        name = "--scenario",
        metaVar = "NAME",
        usage = "steady, log-outage, lost-answers, partition or router-death",
    )
    var scenario: String = DemonstrationScenario.Steady.name

    @Option(name = "--json", usage = "print the summary as JSON")
    var isJson: Boolean = false

    override suspend fun run(): ExitCode {
        val selected = DemonstrationScenario.all.firstOrNull { it.name == scenario }
            ?: throw UsageException("unknown scenario '$scenario'")
        val demonstration =
            Demonstration(requests.coerceIn(1, MAXIMUM_REQUESTS), seed, selected) { System.err.println(it) }
        val result = demonstration.run()
        println(if (isJson) Json.encodeToString(result) else result.toText())
        return if (result.isSuccessful) ExitCode.DONE else ExitCode.FAILED
    }

    private companion object {
        const val MAXIMUM_REQUESTS = 20_000
    }
}
