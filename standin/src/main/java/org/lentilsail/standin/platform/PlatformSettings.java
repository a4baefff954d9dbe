package org.lentilsail.standin.platform;

import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.File;
import java.io.IOException;
import java.util.List;

/**
 * Settings of the platform stand-in.
 *
 * @param listen where it listens, as {@code host:port}; default {@code 127.0.0.1:0}
 * @param vms the VMs
 * @param pollMillis time between two looks at each VM; default 100
 * @param listLagMillis how far the list of VMs lags; default 500
 * @param goneMillis time without an answer after which a VM is reported as gone; default 5000
 * @param changeLog number of changes that watches can reach back; default 1000
 */
public record PlatformSettings(
    String listen,
    List<VmSettings> vms,
    Long pollMillis,
    Long listLagMillis,
    Long goneMillis,
    Integer changeLog) {
  /** Default time between two looks at a VM in ms. */
  private static final long POLL_MILLIS = 100;

  /** Default lag of the list of VMs in ms. */
  private static final long LIST_LAG_MILLIS = 500;

  /** Default time in ms after which a silent VM is gone. */
  private static final long GONE_MILLIS = 5_000;

  /** Default number of changes that watches can reach back. */
  private static final int CHANGE_LOG = 1_000;

  /** Fills in the defaults. */
  public PlatformSettings {
    listen = listen == null ? "127.0.0.1:0" : listen;
    vms = vms == null ? List.of() : List.copyOf(vms);
    pollMillis = pollMillis == null ? POLL_MILLIS : pollMillis;
    listLagMillis = listLagMillis == null ? LIST_LAG_MILLIS : listLagMillis;
    goneMillis = goneMillis == null ? GONE_MILLIS : goneMillis;
    changeLog = changeLog == null ? CHANGE_LOG : changeLog;
  }

  /**
   * Reads settings from a file in JSON with comments.
   *
   * @param file the file
   * @return the settings
   * @throws IOException when the file cannot be read or has faults
   */
  public static PlatformSettings read(final File file) throws IOException {
    return JsonMapper.builder()
        .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
        .build()
        .readValue(file, PlatformSettings.class);
  }
}
