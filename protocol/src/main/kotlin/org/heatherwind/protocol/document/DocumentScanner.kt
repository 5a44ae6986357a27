package org.heatherwind.protocol.document

/** Walks over the tokens of a JSON document with comments that was parsed before, and notes where each name stands. */
internal class DocumentScanner(private val text: String) {
    private var position = 0
    private var line = 1
    private val places = mutableListOf<DocumentLines.NamePlace>()

    fun scan(): List<DocumentLines.NamePlace> {
        skipBlank()
        value("")
        return places
    }

    private fun value(path: String) {
        when (peek()) {
            '{' -> members(path)
            '[' -> items(path)
            '"' -> string()
            else -> literal()
        }
    }

    private fun members(path: String) {
        step()
        skipBlank()
        while (position < text.length && peek() != '}') {
            val nameLine = line
            val name = if (peek() == '"') string() else literal()
            val inner = if (path.isEmpty()) name else "$path.$name"
            places += DocumentLines.NamePlace(inner, nameLine)
            skipTo(':')
            value(inner)
            skipSeparator()
        }
        step()
    }

    private fun items(path: String) {
        step()
        skipBlank()
        var index = 0
        while (position < text.length && peek() != ']') {
            places += DocumentLines.NamePlace("$path[$index]", line)
            value("$path[${index++}]")
            skipSeparator()
        }
        step()
    }

    private fun string(): String {
        step()
        val start = position
        while (position < text.length && peek() != '"') {
            if (peek() == '\\') step()
            step()
        }
        val content = text.substring(start, minOf(position, text.length))
        step()
        return content
    }

    private fun literal(): String {
        val start = position
        while (position < text.length && peek() !in LITERAL_ENDS && !peek().isWhitespace()) step()
        if (position == start) step()
        return text.substring(start, minOf(position, text.length))
    }

    private fun skipTo(mark: Char) {
        skipBlank()
        if (position < text.length && peek() == mark) step()
        skipBlank()
    }

    private fun skipSeparator() = skipTo(',')

    private fun skipBlank() {
        while (position < text.length) {
            when {
                peek().isWhitespace() -> step()
                text.startsWith("//", position) -> skipUntil("\n")
                text.startsWith("/*", position) -> skipUntil("*/")
                else -> return
            }
        }
    }

    private fun skipUntil(end: String) {
        while (position < text.length && !text.startsWith(end, position)) step()
        repeat(end.length) { step() }
    }

    private fun peek(): Char = text[position]

    private fun step() {
        if (position < text.length && text[position] == '\n') line++
        position++
    }

    private companion object {
        const val LITERAL_ENDS = ",:]}"
    }
}
