package org.heatherwind.operator.documentation

import arrow.core.Either
import org.heatherwind.core.result.ResultCode
import org.heatherwind.protocol.document.ConfigurationDocument
import org.heatherwind.router.settings.RouterSettings
import java.io.File
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

/** Given the documentation, when compared with the code, then they match. */
class DocumentationTest {
    private val root = generateSequence(File("").absoluteFile) { it.parentFile }.first { File(it, "docs").isDirectory }

    @Test
    fun `given the table of result codes, when compared with the code, then it lists the same codes`() {
        val rows = File(root, "docs/RESULT_CODES.md").readLines().filter { it.startsWith("| ") && it[2].isDigit() }
        val expected = ResultCode.entries.map { code ->
            val execution = code.execution.name.lowercase().replace('_', ' ')
            "| ${code.number} | ${code.name} | ${code.httpStatus} | $execution | ${code.sentence} |"
        }
        assertEquals(expected, rows)
    }

    @Test
    fun `given the example documents, when read, then they are valid`() {
        assertIs<Either.Right<*>>(ConfigurationDocument.read(File(root, "examples/fleet.json").readText()))
        assertIs<Either.Right<*>>(RouterSettings.parse(File(root, "examples/router.json").readText()))
    }
}
