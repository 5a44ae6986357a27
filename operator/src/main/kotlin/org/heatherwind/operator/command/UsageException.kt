package org.heatherwind.operator.command

/** An argument has a value that the command does not support. */
internal class UsageException(message: String) : Exception(message)
