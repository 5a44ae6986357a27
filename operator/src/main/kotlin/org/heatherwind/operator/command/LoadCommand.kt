package org.heatherwind.operator.command

import org.heatherwind.operator.load.LoadGenerator
import org.heatherwind.operator.load.LoadPlan
import org.kohsuke.args4j.Option

/** `heatherwind load`: sends chat completions at a fixed rate and prints latency percentiles. */
internal class LoadCommand : Command {
    override val summary = "send chat completions at a fixed rate, open loop"

    @Option(name = "--address", metaVar = "ADDRESS", usage = "base URL of a router's caller API")
    var address: String = "http://127.0.0.1:8080"

    @Option(name = "--key", metaVar = "KEY", required = true, usage = "API key")
    var key: String = ""

    @Option(name = "--model", metaVar = "MODEL", usage = "model to request")
    var model: String = "glaze-1"

    @Option(name = "--rate", metaVar = "NUMBER", usage = "requests per second, at most 2000")
    var requestsPerSecond: Int = 50

    @Option(name = "--requests", metaVar = "NUMBER", usage = "total number of requests, at most 100000")
    var requests: Int = 500

    @Option(name = "--json", usage = "print JSON")
    var isJson: Boolean = false

    override suspend fun run(): ExitCode {
        val plan = LoadPlan(
            address = address,
            key = key,
            model = model,
            requestsPerSecond = requestsPerSecond.coerceIn(1, MAXIMUM_REQUESTS_PER_SECOND),
            requests = requests.coerceIn(1, MAXIMUM_REQUESTS),
        )
        val result = LoadGenerator(plan).run()
        println(if (isJson) result.toJson() else result.toText())
        return if (result.failed == 0L) ExitCode.DONE else ExitCode.FAILED
    }

    private companion object {
        const val MAXIMUM_REQUESTS_PER_SECOND = 2_000
        const val MAXIMUM_REQUESTS = 100_000
    }
}
