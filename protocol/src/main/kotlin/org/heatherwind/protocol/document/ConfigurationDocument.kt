package org.heatherwind.protocol.document

import arrow.core.Either
import org.heatherwind.core.configuration.ConfigurationRules
import org.heatherwind.core.configuration.FleetConfiguration

/** Decodes and encodes the fleet configuration as JSON with comments. */
public object ConfigurationDocument {
    /** Decodes [text] and checks it against [ConfigurationRules]. Returns the configuration, or all its errors. */
    public fun read(text: String): Either<List<DocumentProblem>, FleetConfiguration> =
        DocumentReader.read(FleetConfiguration.serializer(), text) { configuration ->
            ConfigurationRules.problemsOf(configuration)
                .map { DocumentProblem(it.path, line = 0, detail = "expected ${it.expected}") }
        }

    /** Encodes [configuration] as a document that [read] accepts. */
    public fun write(configuration: FleetConfiguration): String =
        DocumentReader.write(FleetConfiguration.serializer(), configuration)
}
