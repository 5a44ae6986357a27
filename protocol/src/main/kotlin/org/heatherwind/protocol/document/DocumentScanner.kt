package org.heatherwind.protocol.document

/**
 * Scans a JSON document with comments and records the line of each property name and list item.
 *
 * Does not validate: the parser has already accepted the document.
 */
internal class DocumentScanner(private val text: String) {
    private var position = 0
    private var line = 1
    private val positions = mutableListOf<DocumentLines.NamePosition>()

    fun scan(): List<DocumentLines.NamePosition> {
        skipWhitespaceAndComments()
        scanValue("")
        return positions
    }

    private fun scanValue(path: String) {
        when (peek()) {
            '{' -> scanObject(path)
            '[' -> scanArray(path)
            '"' -> scanString()
            else -> scanLiteral()
        }
    }

    private fun scanObject(path: String) {
        advance()
        skipWhitespaceAndComments()
        while (position < text.length && peek() != '}') {
            val nameLine = line
            val name = if (peek() == '"') scanString() else scanLiteral()
            val memberPath = if (path.isEmpty()) name else "$path.$name"
            positions += DocumentLines.NamePosition(memberPath, nameLine)
            skipSeparator(':')
            scanValue(memberPath)
            skipSeparator(',')
        }
        advance()
    }

    private fun scanArray(path: String) {
        advance()
        skipWhitespaceAndComments()
        var index = 0
        while (position < text.length && peek() != ']') {
            positions += DocumentLines.NamePosition("$path[$index]", line)
            scanValue("$path[${index++}]")
            skipSeparator(',')
        }
        advance()
    }

    private fun scanString(): String {
        advance()
        val start = position
        while (position < text.length && peek() != '"') {
            if (peek() == '\\') advance()
            advance()
        }
        val content = text.substring(start, minOf(position, text.length))
        advance()
        return content
    }

    private fun scanLiteral(): String {
        val start = position
        while (position < text.length && peek() !in LITERAL_DELIMITERS && !peek().isWhitespace()) advance()
        if (position == start) advance()
        return text.substring(start, minOf(position, text.length))
    }

    private fun skipSeparator(separator: Char) {
        skipWhitespaceAndComments()
        if (position < text.length && peek() == separator) advance()
        skipWhitespaceAndComments()
    }

    private fun skipWhitespaceAndComments() {
        while (position < text.length) {
            when {
                peek().isWhitespace() -> advance()
                text.startsWith("//", position) -> skipPast("\n")
                text.startsWith("/*", position) -> skipPast("*/")
                else -> return
            }
        }
    }

    private fun skipPast(terminator: String) {
        while (position < text.length && !text.startsWith(terminator, position)) advance()
        repeat(terminator.length) { advance() }
    }

    private fun peek(): Char = text[position]

    private fun advance() {
        if (position < text.length && text[position] == '\n') line++
        position++
    }

    private companion object {
        const val LITERAL_DELIMITERS = ",:]}"
    }
}
