package org.heatherwind.operator.command

/** `heatherwind drain`: starts the graceful shutdown of the given routers. */
internal class DrainCommand : RouterCommand() {
    override val summary = "shut routers down gracefully, without interrupting requests"

    override suspend fun run(): ExitCode {
        clients().forEach { it.drain() }
        println("draining; the routers exit when their requests have ended")
        return ExitCode.DONE
    }
}
