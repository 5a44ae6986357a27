package org.heatherwind.operator.command

import kotlinx.serialization.json.Json
import org.kohsuke.args4j.Argument
import java.time.Instant

/** `heatherwind explain REQUEST`: prints the steps of a request as the given routers recorded them. */
internal class ExplainCommand : RouterCommand() {
    override val summary = "show the recorded steps of a request"

    @Argument(metaVar = "REQUEST", required = true, usage = "the Heatherwind-Request header of its response")
    var request: String = ""

    override suspend fun run(): ExitCode {
        val traces = clients().mapNotNull { it.trace(request) }
        if (traces.isEmpty()) {
            System.err.println("none of the given routers has a trace of $request")
            return ExitCode.FAILED
        }
        if (isJson) {
            println(Json.encodeToString(traces))
        } else {
            traces.forEach { trace ->
                println("$request on ${trace.router}")
                trace.steps.forEach { println("  ${Instant.ofEpochMilli(it.at)} ${it.sentence}") }
            }
        }
        return ExitCode.DONE
    }
}
