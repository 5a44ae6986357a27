package org.heatherwind.operator.command

import org.heatherwind.core.result.ResultCode
import org.heatherwind.protocol.operations.PublishMessage
import org.heatherwind.protocol.operations.PublishReport
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option
import java.io.File
import java.util.UUID

/** `heatherwind apply FILE`: publishes a configuration derived from the version in force or from `--base`. */
internal class ApplyCommand : RouterCommand() {
    override val summary = "publish a fleet configuration"

    @Argument(metaVar = "FILE", required = true, usage = "the configuration, as JSON with comments")
    var file: File? = null

    @Option(name = "--base", metaVar = "VERSION", usage = "version that FILE derives from (default: the one in force)")
    var base: Long? = null

    @Option(name = "--by", metaVar = "NAME", usage = "name of the publisher")
    var publisher: String = System.getProperty("user.name").orEmpty()

    override suspend fun run(): ExitCode {
        val client = client()
        val message = PublishMessage(
            base = base ?: client.configuration().version,
            publisher = publisher,
            changeKey = UUID.randomUUID().toString(),
            document = file?.readText().orEmpty(),
        )
        return report(client.publish(message))
    }

    private fun report(report: PublishReport): ExitCode {
        val code = ResultCode.ofNumber(report.code)
        if (code == ResultCode.COMPLETED) {
            println("version ${report.version} is in force")
            return ExitCode.DONE
        }
        System.err.println(
            "not accepted: ${report.code} ${code?.name}; version ${report.version} by ${report.publisher} is in force",
        )
        report.problems.forEach { System.err.println("  $it") }
        return ExitCode.FAILED
    }
}
