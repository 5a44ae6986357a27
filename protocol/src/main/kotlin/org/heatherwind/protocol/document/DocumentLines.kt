package org.heatherwind.protocol.document

/** Line numbers of the property names in a JSON document with comments. */
internal object DocumentLines {
    /** A property name or list item at [path], on [line] (from 1). */
    data class NamePosition(val path: String, val line: Int)

    /** Returns the line (from 1) of the property or list item at [path], else of its nearest parent, else 0. */
    fun lineOf(text: String, path: String): Int {
        val lines = positionsIn(text).associate { it.path to it.line }
        var candidate = path
        while (candidate.isNotEmpty()) {
            lines[candidate]?.let { return it }
            candidate = candidate.substring(0, maxOf(candidate.lastIndexOf('.'), candidate.lastIndexOf('['), 0))
        }
        return 0
    }

    /** Returns every repetition of a name within one object. */
    fun duplicateNames(text: String): List<NamePosition> {
        val seen = HashSet<String>()
        return positionsIn(text).filter { !it.path.endsWith("]") && !seen.add(it.path) }
    }

    private fun positionsIn(text: String): List<NamePosition> = DocumentScanner(text).scan()
}
