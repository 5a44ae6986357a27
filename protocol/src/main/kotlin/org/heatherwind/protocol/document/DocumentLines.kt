package org.heatherwind.protocol.document

/** Where names stand in a JSON document with comments. */
internal object DocumentLines {
    /** A name at its place. */
    data class NamePlace(val path: String, val line: Int)

    /** The line of the name or list item at [path], or of its nearest parent, from 1; 0 when nothing matches. */
    fun lineOf(text: String, path: String): Int {
        val places = places(text).associate { it.path to it.line }
        var candidate = path
        while (candidate.isNotEmpty()) {
            places[candidate]?.let { return it }
            candidate = candidate.substring(0, maxOf(candidate.lastIndexOf('.'), candidate.lastIndexOf('['), 0))
        }
        return 0
    }

    /** Names that stand twice in one object, at their second place. */
    fun duplicateNames(text: String): List<NamePlace> {
        val seen = HashSet<String>()
        return places(text).filter { !it.path.endsWith("]") && !seen.add(it.path) }
    }

    private fun places(text: String): List<NamePlace> = DocumentScanner(text).scan()
}
