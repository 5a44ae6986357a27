package org.heatherwind.core.document

/** Measures how deeply JSON texts are nested, without recursion. */
public object JsonNesting {
    /** More levels than any document of the fleet has; a parser that recurses stays within the smallest stacks. */
    public const val MAXIMUM_LEVELS: Int = 32

    /**
     * Returns whether objects and lists of [text] are nested more than [levels] deep. The text need not be valid: up to
     * its first error, every level that a parser would enter is counted.
     */
    public fun isDeeper(text: String, levels: Int = MAXIMUM_LEVELS): Boolean {
        var open = 0
        var position = 0
        while (position < text.length) {
            when (text[position]) {
                '"' -> position = endOfString(text, position)
                '{', '[' -> if (++open > levels) return true
                '}', ']' -> open--
            }
            position++
        }
        return false
    }

    /** Returns the position of the quote that ends the string that begins at [start], or the end of [text]. */
    private fun endOfString(text: String, start: Int): Int {
        var position = start + 1
        while (position < text.length && text[position] != '"') {
            position += if (text[position] == '\\') 2 else 1
        }
        return position
    }
}
