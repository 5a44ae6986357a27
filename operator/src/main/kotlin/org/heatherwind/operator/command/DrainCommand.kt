package org.heatherwind.operator.command

/** `heatherwind drain`: begins the planned stop of the named routers. */
internal class DrainCommand : RouterOptions() {
    override val summary = "stop routers without cutting off a request"

    override suspend fun run(): ExitCode {
        clients().forEach { it.drain() }
        println("stopping; the routers end by themselves")
        return ExitCode.DONE
    }
}
