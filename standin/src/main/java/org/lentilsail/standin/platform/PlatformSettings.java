package org.lentilsail.standin.platform;

import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.File;
import java.io.IOException;
import java.util.List;

/**
 * Settings of the platform stand-in.
 *
 * @param listen address at which it listens, as {@code host:port}; default {@code 127.0.0.1:0}
 * @param vms the VMs
 * @param pollMillis time in ms between two polls of each VM; default 100
 * @param listLagMillis delay in ms with which the list of VMs shows changes; default 500
 * @param goneMillis time in ms without a response after which a VM is reported as gone; default
 *     5000
 * @param changeLog number of changes that are retained for watches; default 1000
 */
public record PlatformSettings(
    String listen,
    List<VmSettings> vms,
    Long pollMillis,
    Long listLagMillis,
    Long goneMillis,
    Integer changeLog) {
  private static final long DEFAULT_POLL_MILLIS = 100;

  private static final long DEFAULT_LIST_LAG_MILLIS = 500;

  private static final long DEFAULT_GONE_MILLIS = 5_000;

  private static final int DEFAULT_CHANGE_LOG = 1_000;

  /** Fills in the defaults. */
  public PlatformSettings {
    listen = listen == null ? "127.0.0.1:0" : listen;
    vms = vms == null ? List.of() : List.copyOf(vms);
    pollMillis = pollMillis == null ? DEFAULT_POLL_MILLIS : pollMillis;
    listLagMillis = listLagMillis == null ? DEFAULT_LIST_LAG_MILLIS : listLagMillis;
    goneMillis = goneMillis == null ? DEFAULT_GONE_MILLIS : goneMillis;
    changeLog = changeLog == null ? DEFAULT_CHANGE_LOG : changeLog;
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
