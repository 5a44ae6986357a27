package org.heatherwind.operator

import kotlinx.coroutines.runBlocking
import org.heatherwind.operator.command.CommandTable
import kotlin.system.exitProcess

/** The operator's command line. */
public fun main(arguments: Array<String>) {
    val code = runBlocking { CommandTable.run(arguments.toList()) }
    System.out.flush()
    exitProcess(code.number)
}
