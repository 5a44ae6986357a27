package org.heatherwind.operator.documentation

import arrow.core.Either
import org.heatherwind.core.result.ResultCode
import org.heatherwind.protocol.document.ConfigurationDocument
import org.heatherwind.router.settings.RouterSettings
import java.io.File
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

/** Given the documents, when they are compared with the code, then they say the same. */
class DocumentationTest {
    private val root = generateSequence(File("").absoluteFile) { it.parentFile }.first { File(it, "docs").isDirectory }

    @Test
    fun `the table of result codes is the code's`() {
        val rows = File(root, "docs/RESULT_CODES.md").readLines().filter { it.startsWith("| ") && it[2].isDigit() }
        val expected = ResultCode.entries.map { code ->
            val execution = code.execution.name.lowercase().replace('_', ' ')
            "| ${code.number} | ${code.name} | ${code.httpStatus} | $execution | ${code.sentence} |"
        }
        assertEquals(expected, rows)
    }

    @Test
    fun `the examples have no faults`() {
        assertIs<Either.Right<*>>(ConfigurationDocument.read(File(root, "examples/fleet.json").readText()))
        assertIs<Either.Right<*>>(RouterSettings.parse(File(root, "examples/router.json").readText()))
    }
}
