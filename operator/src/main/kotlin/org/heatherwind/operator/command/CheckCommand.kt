package org.heatherwind.operator.command

import arrow.core.Either
import org.heatherwind.protocol.document.ConfigurationDocument
import org.heatherwind.protocol.document.DocumentProblem
import org.heatherwind.router.settings.RouterSettings
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option
import java.io.File

/** `heatherwind check FILE`: validates a configuration or a router's settings and reports all errors. */
internal class CheckCommand : Command {
    override val summary = "validate a fleet configuration, or a router's settings with --settings"

    @Argument(metaVar = "FILE", required = true, usage = "the document to validate")
    var file: File? = null

    @Option(name = "--settings", usage = "the document is a router's settings")
    var isSettings: Boolean = false

    override suspend fun run(): ExitCode {
        val text = file?.takeIf { it.canRead() }?.readText() ?: return report(listOf(unreadable()))
        val result: Either<List<DocumentProblem>, Any> =
            if (isSettings) RouterSettings.parse(text) else ConfigurationDocument.read(text)
        return when (result) {
            is Either.Left -> report(result.value)

            is Either.Right -> {
                println("$file: no errors")
                ExitCode.DONE
            }
        }
    }

    private fun unreadable() = DocumentProblem("document", 0, "the file cannot be read")

    private fun report(problems: List<DocumentProblem>): ExitCode {
        problems.forEach { println("$file: $it") }
        return ExitCode.FAILED
    }
}
