package org.heatherwind.operator.command

import kotlinx.coroutines.awaitCancellation
import org.heatherwind.operator.demonstration.LocalPlatform
import org.kohsuke.args4j.Option

/** `heatherwind stand-ins`: runs stand-ins of the platform and of targets, for routers that are started separately. */
internal class StandInsCommand : Command {
    override val summary = "run stand-ins of the log service, the instance list and targets"

    @Option(
        name = "--port",
        metaVar = "PORT",
        usage = "port of the log service and instance list; targets use the next ports",
    )
    var port: Int = 7000

    override suspend fun run(): ExitCode {
        val platform = LocalPlatform.start(port)
        println("log service and instance list: ${platform.address}")
        platform.engineAddresses.forEach { println("engine: $it") }
        println("plain service: ${platform.orderAddress}")
        println("running until interrupted")
        awaitCancellation()
    }
}
