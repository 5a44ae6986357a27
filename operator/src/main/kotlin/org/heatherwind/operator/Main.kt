package org.heatherwind.operator

import kotlinx.coroutines.runBlocking
import org.heatherwind.operator.command.CommandTable
import kotlin.system.exitProcess

/** Entry point of the operator's command line; exits with the number of an `ExitCode`. */
public fun main(arguments: Array<String>) {
    val code = runBlocking { CommandTable.run(arguments.toList()) }
    System.out.flush()
    exitProcess(code.number)
}
