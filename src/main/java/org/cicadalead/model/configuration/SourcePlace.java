package org.cicadalead.model.configuration;

/**
 * The location of a definition in the configuration folder. Immutable.
 *
 * @param file the file name within the folder
 * @param line the line, starting at 1; 0 when the location is the whole file
 * @param column the column, starting at 1; 0 when the location is the whole file
 */
public record SourcePlace(String file, int line, int column) {
    @Override
    public String toString() {
        return line == 0 ? file : file + ":" + line + ":" + column;
    }
}
