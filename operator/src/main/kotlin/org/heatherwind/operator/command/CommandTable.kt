package org.heatherwind.operator.command

import org.heatherwind.operator.client.RouterRequestException
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser

/** All subcommands; parses a command line and runs the subcommand that it names. */
internal object CommandTable {
    private val commands: Map<String, () -> Command> = mapOf(
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
        val name = arguments.firstOrNull()
        if (name == null || name == "--help") return printCommands(if (name == null) ExitCode.USAGE else ExitCode.DONE)
        val command = commands[name]?.invoke() ?: return reportUnknown(name)
        val parser = CmdLineParser(command)
        if ("--help" in arguments) return printUsage(name, command, parser)
        return try {
            parser.parseArgument(arguments.drop(1))
            command.run()
        } catch (failure: CmdLineException) {
            System.err.println("heatherwind $name: ${failure.message}")
            parser.printUsage(System.err)
            ExitCode.USAGE
        } catch (failure: UsageException) {
            System.err.println("heatherwind $name: ${failure.message}")
            ExitCode.USAGE
        } catch (failure: RouterRequestException) {
            System.err.println("heatherwind $name: ${failure.message}")
            ExitCode.UNREACHABLE
        }
    }

    private fun printCommands(code: ExitCode): ExitCode {
        println("heatherwind COMMAND [options]; heatherwind COMMAND --help shows the options of a command")
        commands.forEach { (name, create) -> println("  ${name.padEnd(NAME_WIDTH)} ${create().summary}") }
        return code
    }

    private fun printUsage(name: String, command: Command, parser: CmdLineParser): ExitCode {
        println("heatherwind $name: ${command.summary}")
        parser.printUsage(System.out)
        return ExitCode.DONE
    }

    private fun reportUnknown(name: String): ExitCode {
        System.err.println("heatherwind: unknown command '$name'")
        printCommands(ExitCode.USAGE)
        return ExitCode.USAGE
    }

    private const val NAME_WIDTH = 10
}
