package org.lentilsail.peer;

import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** Marker of the immutable messages between daemons; the field {@code type} names their type. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
public interface PeerMessage {}
