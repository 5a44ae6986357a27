import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** What was sent, answered and run, with the milliseconds since the start. */
final class Record {
    private final long startedAt = System.nanoTime();
    private final List<String> lines = new ArrayList<>();

    synchronized void add(String line) {
        lines.add(String.format(Locale.ROOT, "%9.1f %s", (System.nanoTime() - startedAt) / 1e6, line));
    }

    /** Adds [line] and prints it. */
    void say(String line) {
        add(line);
        System.out.println(line);
    }

    synchronized void write(Path file) throws IOException {
        Files.write(file, lines);
    }
}
