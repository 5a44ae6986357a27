package org.heatherwind.protocol.document

import arrow.core.Either
import org.heatherwind.core.configuration.ConfigurationRules
import org.heatherwind.core.configuration.FleetConfiguration

/** Reads and writes the fleet's configuration as JSON with comments. */
public object ConfigurationDocument {
    /** The configuration in [text], or all its faults. */
    public fun read(text: String): Either<List<DocumentProblem>, FleetConfiguration> =
        DocumentReader.read(FleetConfiguration.serializer(), text) { configuration ->
            ConfigurationRules.problemsOf(configuration)
                .map { DocumentProblem(it.path, line = 0, detail = "allowed is ${it.allowed}") }
        }

    /** [configuration] as a document. */
    public fun write(configuration: FleetConfiguration): String =
        DocumentReader.write(FleetConfiguration.serializer(), configuration)
}
