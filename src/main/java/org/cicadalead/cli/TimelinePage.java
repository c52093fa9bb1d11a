package org.cicadalead.cli;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.text.StringEscapeUtils;
import org.cicadalead.logic.timeline.TimelineExplainer;
import org.cicadalead.model.event.Event;
import org.cicadalead.model.event.EventSeverity;
import org.cicadalead.model.identity.ProcessIdentifier;

/** Renders a merged timeline as a self-contained HTML page, with a lane per process and time downwards. Stateless. */
final class TimelinePage {
    private static final int LANE_WIDTH_PIXELS = 90;
    private static final int ROW_HEIGHT_PIXELS = 18;
    private static final int TOP_MARGIN_PIXELS = 40;
    private static final int TEXT_WIDTH_PIXELS = 1_400;
    private static final int MAX_LABEL_LENGTH = 10;

    private TimelinePage() {}

    static String render(List<Event> events) {
        List<ProcessIdentifier> lanes =
                events.stream().map(Event::process).distinct().sorted().toList();
        int width = lanes.size() * LANE_WIDTH_PIXELS + TEXT_WIDTH_PIXELS;
        int height = TOP_MARGIN_PIXELS + (events.size() + 1) * ROW_HEIGHT_PIXELS;
        List<String> parts = new ArrayList<>();
        parts.add(
                "<!DOCTYPE html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>Time line</title></head><body>");
        parts.add("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" + width + "\" height=\"" + height
                + "\" font-family=\"monospace\" font-size=\"11\">");
        for (int lane = 0; lane < lanes.size(); lane++) {
            parts.add(renderLaneHeading(lane, lanes.get(lane), height));
        }
        for (int row = 0; row < events.size(); row++) {
            parts.add(renderEventRow(events.get(row), lanes, row));
        }
        parts.add("</svg></body></html>");
        return String.join("\n", parts);
    }

    private static String renderLaneHeading(int lane, ProcessIdentifier process, int height) {
        int center = laneCenter(lane);
        String name = process.value();
        String label = name.substring(0, Math.min(MAX_LABEL_LENGTH, name.length()));
        return "<text x=\"" + center + "\" y=\"15\" text-anchor=\"middle\">" + escape(label) + "</text>"
                + "<line x1=\"" + center + "\" y1=\"20\" x2=\"" + center + "\" y2=\"" + height
                + "\" stroke=\"#ccc\"/>";
    }

    private static String renderEventRow(Event event, List<ProcessIdentifier> lanes, int row) {
        int y = TOP_MARGIN_PIXELS + row * ROW_HEIGHT_PIXELS;
        int center = laneCenter(lanes.indexOf(event.process()));
        int textStart = lanes.size() * LANE_WIDTH_PIXELS + LANE_WIDTH_PIXELS / 2;
        return "<circle cx=\"" + center + "\" cy=\"" + y + "\" r=\"5\" fill=\""
                + colorOf(event.kind().severity()) + "\"/><text x=\"" + textStart + "\" y=\"" + (y + 4) + "\">"
                + escape(TimelineExplainer.describe(event)) + "</text>";
    }

    private static int laneCenter(int lane) {
        return lane * LANE_WIDTH_PIXELS + LANE_WIDTH_PIXELS / 2;
    }

    private static String escape(String text) {
        return StringEscapeUtils.escapeXml11(text);
    }

    private static String colorOf(EventSeverity severity) {
        return switch (severity) {
            case DETAIL -> "#999999";
            case INFORMATION -> "#2266bb";
            case WARNING -> "#dd8800";
            case ERROR -> "#cc2222";
        };
    }
}
