package org.cicadalead.model.configuration;

/**
 * Where a definition stands in the configuration folder. Immutable.
 *
 * @param file the file name within the folder
 * @param line the line, from 1; 0 when the place is the whole file
 * @param column the column, from 1; 0 when the place is the whole file
 */
public record SourcePlace(String file, int line, int column) {
    @Override
    public String toString() {
        return line == 0 ? file : file + ":" + line + ":" + column;
    }
}
