package org.heatherwind.router

import arrow.core.Either
import kotlinx.coroutines.runBlocking
import org.heatherwind.router.settings.RouterSettings
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import org.kohsuke.args4j.Option
import java.io.File
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.system.exitProcess

private const val EXIT_USAGE = 2
private const val EXIT_DRAIN_DEADLINE = 3
private const val EXIT_SECOND_SIGNAL = 4

/** The command line of `heatherwind-router`. */
internal class RouterArguments {
    @Option(
        name = "--settings",
        required = true,
        metaVar = "FILE",
        usage = "settings of this router, JSON with comments",
    )
    var settingsFile: File? = null

    @Option(name = "--help", help = true, usage = "show this help")
    var isHelp: Boolean = false
}

/**
 * Runs one router until SIGTERM or SIGINT and then drains it. Exit codes: 0 clean stop, 2 invalid command line or
 * settings, 3 drain deadline passed, 4 second signal.
 */
public fun main(arguments: Array<String>) {
    val options = RouterArguments()
    val parser = CmdLineParser(options)
    try {
        parser.parseArgument(*arguments)
    } catch (failure: CmdLineException) {
        System.err.println("heatherwind-router: ${failure.message}")
        parser.printUsage(System.err)
        exitProcess(EXIT_USAGE)
    }
    if (options.isHelp) {
        println("heatherwind-router --settings FILE")
        parser.printUsage(System.out)
        return
    }
    when (val parsed = RouterSettings.parse(options.settingsFile?.readText().orEmpty())) {
        is Either.Left -> {
            parsed.value.forEach { System.err.println("${options.settingsFile}: $it") }
            exitProcess(EXIT_USAGE)
        }

        is Either.Right -> run(RouterProcess(parsed.value))
    }
}

private fun run(router: RouterProcess): Unit = runBlocking {
    router.start()
    SignalHandlers(router).install()
    val result = router.awaitDrained()
    router.terminate()
    Runtime.getRuntime().halt(if (result == DrainResult.CLEAN) 0 else EXIT_DRAIN_DEADLINE)
}

private class SignalHandlers(private val router: RouterProcess) {
    private val signals = AtomicInteger()

    @Suppress("sunapi")
    fun install() {
        listOf("TERM", "INT").forEach { name -> sun.misc.Signal.handle(sun.misc.Signal(name)) { handleSignal() } }
    }

    private fun handleSignal() {
        if (signals.incrementAndGet() == 1) {
            thread(name = "drain") { router.startDrain() }
        } else {
            System.err.println("heatherwind-router: second signal received, exiting with requests in progress")
            Runtime.getRuntime().halt(EXIT_SECOND_SIGNAL)
        }
    }
}
