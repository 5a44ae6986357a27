package org.heatherwind.operator.command

/** The command line asks for something that does not exist. */
internal class UsageFault(message: String) : Exception(message)
