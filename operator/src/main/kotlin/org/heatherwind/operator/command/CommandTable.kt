package org.heatherwind.operator.command

import org.heatherwind.operator.client.RouterUnreachable
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser

/** All verbs, and how a command line is given to one. */
internal object CommandTable {
    private val verbs: Map<String, () -> Command> = mapOf(
        "check" to ::CheckCommand,
        "apply" to ::ApplyCommand,
        "customer" to ::CustomerCommand,
        "budget" to ::BudgetCommand,
        "status" to ::StatusCommand,
        "explain" to ::ExplainCommand,
        "drain" to ::DrainCommand,
        "load" to ::LoadCommand,
        "stand-ins" to ::StandInsCommand,
        "demo" to ::DemoCommand,
    )

    suspend fun run(arguments: List<String>): ExitCode {
        val verb = arguments.firstOrNull()
        if (verb == null || verb == "--help") return printVerbs(if (verb == null) ExitCode.USAGE else ExitCode.DONE)
        val command = verbs[verb]?.invoke() ?: return unknown(verb)
        val parser = CmdLineParser(command)
        if ("--help" in arguments) return printUsage(verb, command, parser)
        return try {
            parser.parseArgument(arguments.drop(1))
            command.run()
        } catch (failure: CmdLineException) {
            System.err.println("heatherwind $verb: ${failure.message}")
            parser.printUsage(System.err)
            ExitCode.USAGE
        } catch (failure: UsageFault) {
            System.err.println("heatherwind $verb: ${failure.message}")
            ExitCode.USAGE
        } catch (failure: RouterUnreachable) {
            System.err.println("heatherwind $verb: ${failure.message}")
            ExitCode.UNREACHABLE
        }
    }

    private fun printVerbs(code: ExitCode): ExitCode {
        println("heatherwind VERB [options]; heatherwind VERB --help tells a verb's options")
        verbs.forEach { (name, create) -> println("  ${name.padEnd(VERB_WIDTH)} ${create().summary}") }
        return code
    }

    private fun printUsage(verb: String, command: Command, parser: CmdLineParser): ExitCode {
        println("heatherwind $verb: ${command.summary}")
        parser.printUsage(System.out)
        return ExitCode.DONE
    }

    private fun unknown(verb: String): ExitCode {
        System.err.println("heatherwind: there is no verb '$verb'")
        printVerbs(ExitCode.USAGE)
        return ExitCode.USAGE
    }

    private const val VERB_WIDTH = 10
}
