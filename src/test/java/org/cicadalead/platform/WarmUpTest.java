package org.cicadalead.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class WarmUpTest {
    private static final Pattern POM_OPTIONS = Pattern.compile("<entry.jvm.options>(.*)</entry.jvm.options>");
    private static final Pattern POM_ARCHIVE = Pattern.compile("-XX:ArchiveClassesAtExit=(\\S+?)\"");
    private static final Pattern RUN = Pattern.compile("run = \"java (.*) -XX:SharedArchiveFile=(\\S+) -jar ");

    @Test
    void completesJobThroughLeaderAndFollower(@TempDir Path folder) throws IOException, InterruptedException {
        assertTrue(WarmUp.run(folder, Duration.ofSeconds(30)));
    }

    /** The virtual machine ignores an archive that was made with other options. */
    @Test
    void entryStartsWithArchiveThatBuildMakes() throws IOException {
        Matcher run = find(RUN, Path.of("deploy", "system.toml"));
        Path pom = Path.of("pom.xml");
        assertEquals(find(POM_OPTIONS, pom).group(1), run.group(1));
        assertEquals(find(POM_ARCHIVE, pom).group(1), run.group(2));
    }

    private static Matcher find(Pattern pattern, Path file) throws IOException {
        Matcher matcher = pattern.matcher(Files.readString(file));
        assertTrue(matcher.find(), file + " has no " + pattern);
        return matcher;
    }
}
